#include "process/process_memory.hpp"

#include <linux/inet_diag.h>  // for inet_diag_req_v2
#include <linux/netlink.h>    // for nlmsghdr
#include <linux/rtnetlink.h>  // for RTA_OK
#include <linux/sock_diag.h>  // for SOCK_DIAG_BY_FAMILY, SK_MEMINFO_RMEM_ALLOC
#include <netinet/in.h>       // for IPPROTO_TCP
#include <sys/socket.h>       // for socket
#include <unistd.h>           // for close

#include <array>       // for array
#include <filesystem>  // for directory_iterator
#include <fstream>     // for ifstream
#include <set>         // for set
#include <string>      // for string

namespace rudderloom::tests {

namespace {

constexpr std::int64_t kBytesPerKb = 1024;

std::int64_t ResidentKb(int process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stol(line.substr(line.find(':') + 1));
    }
  }
  return 0;
}

std::set<std::uint32_t> SocketInodes(int process) {
  constexpr std::string_view kPrefix = "socket:[";
  std::set<std::uint32_t> inodes;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error)) {
    const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
    if (!error && target.starts_with(kPrefix)) {
      inodes.insert(static_cast<std::uint32_t>(std::stoul(target.substr(kPrefix.size()))));
    }
  }
  return inodes;
}

void AddSocket(nlmsghdr* message, const std::set<std::uint32_t>& inodes, ProcessMemory& memory) {
  auto* socket = static_cast<inet_diag_msg*>(NLMSG_DATA(message));
  if (!inodes.contains(socket->idiag_inode)) {
    return;
  }
  auto length = static_cast<int>(message->nlmsg_len - NLMSG_LENGTH(sizeof(*socket)));
  for (auto* attribute = reinterpret_cast<rtattr*>(socket + 1); RTA_OK(attribute, length);
       attribute = RTA_NEXT(attribute, length)) {
    if (attribute->rta_type == INET_DIAG_SKMEMINFO) {
      const auto* info = static_cast<const std::uint32_t*>(RTA_DATA(attribute));
      memory.received += info[SK_MEMINFO_RMEM_ALLOC];
      memory.sending += info[SK_MEMINFO_WMEM_QUEUED];
    }
  }
}

// Asks the kernel for all TCP sockets; true at the end of its answer.
bool ReadSockets(int kernel, const std::set<std::uint32_t>& inodes, ProcessMemory& memory) {
  alignas(nlmsghdr) std::array<char, 64 * 1024> buffer;
  auto left = ::recv(kernel, buffer.data(), buffer.size(), 0);
  if (left <= 0) {
    return true;
  }
  for (auto* message = reinterpret_cast<nlmsghdr*>(buffer.data()); NLMSG_OK(message, left);
       message = NLMSG_NEXT(message, left)) {
    if (message->nlmsg_type != SOCK_DIAG_BY_FAMILY) {
      return true;
    }
    AddSocket(message, inodes, memory);
  }
  return false;
}

}  // namespace

ProcessMemory MemoryOf(int process) {
  ProcessMemory memory;
  memory.resident = ResidentKb(process);
  const auto inodes = SocketInodes(process);
  struct {
    nlmsghdr header;
    inet_diag_req_v2 query;
  } request{};
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
  request.query.sdiag_family = AF_INET;
  request.query.sdiag_protocol = IPPROTO_TCP;
  request.query.idiag_ext = 1U << (INET_DIAG_SKMEMINFO - 1);
  request.query.idiag_states = ~0U;
  const int kernel = ::socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG);
  if (::send(kernel, &request, sizeof(request), 0) > 0) {
    while (!ReadSockets(kernel, inodes, memory)) {
    }
  }
  ::close(kernel);
  memory.received /= kBytesPerKb;
  memory.sending /= kBytesPerKb;
  return memory;
}

}  // namespace rudderloom::tests
