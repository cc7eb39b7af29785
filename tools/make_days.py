#!/usr/bin/env python3
"""Generates day files: scenarios of faults and planned changes for the users' bench.

usage: tools/make_days.py [--every-kind DIRECTORY]
Without arguments: writes deploy/days, which the bench's hunts run on every deployment that they
fit.
With --every-kind: writes about 110 days, each with one kind of event twice or with an
overlapping pair.
Times are seconds from the start of traffic. Shares and strengths are those of an ordinary day.
@c0, @s0 and @z0 stand for a deployment's first kind of request, service and zone.
"""
import pathlib
import sys

DAYS_DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "days"

EVENT_KINDS = {
    "srv_crash_dark": "kind = 'srv_crash', share = 0.2, for_s = 4.0, how = 'dark'",
    "srv_crash_gone": "kind = 'srv_crash', share = 0.15, for_s = 4.0, how = 'gone'",
    "srv_grey_hang": "kind = 'srv_grey', share = 0.2, x = 0.45, for_s = 6.0, how = 'hang'",
    "srv_grey_mute": "kind = 'srv_grey', share = 0.2, x = 0.45, for_s = 6.0, how = 'mute'",
    "srv_grey_shed": "kind = 'srv_grey', share = 0.3, x = 0.6, for_s = 6.0, how = 'shed'",
    "srv_grey_busy": "kind = 'srv_grey', share = 0.3, x = 0.6, for_s = 6.0, how = 'busy'",
    "srv_grey_reset": "kind = 'srv_grey', share = 0.3, x = 0.5, for_s = 6.0, how = 'reset'",
    "srv_grey_errors": "kind = 'srv_grey', share = 1.0, x = 0.45, for_s = 4.0, how = 'errors all'",
    "srv_slow": "kind = 'srv_slow', share = 0.3, x = 4.0, for_s = 6.0",
    "srv_cut": "kind = 'srv_cut', share = 0.25, for_s = 6.0",
    "srv_cut_fronts": "kind = 'srv_cut', share = 0.25, x = 0.4, for_s = 6.0, how = 'fronts'",
    "srv_cut_some": "kind = 'srv_cut', share = 0.3, x = 0.4, for_s = 6.0, how = 'some'",
    "srv_cut_one_way": "kind = 'srv_cut', share = 0.25, for_s = 6.0, how = 'one_way'",
    "srv_cut_reset": "kind = 'srv_cut', share = 0.25, for_s = 6.0, how = 'reset'",
    "reuse_drain": "kind = 'replace_with_reuse', share = 0.2, how = 'drain'",
    "reuse_dark": "kind = 'replace_with_reuse', share = 0.2, how = 'dark'",
    "reuse_crash": "kind = 'replace_with_reuse', share = 0.2",
    "after_ack_kill": "kind = 'after_ack_kill', count = 2, for_s = 3.0",
    "after_ack_kill_timed": "kind = 'after_ack_kill', count = 2, for_s = 3.0, how = 'timed'",
    "after_ack_kill_taken": "kind = 'after_ack_kill', count = 2, for_s = 3.0, how = 'taken'",
    "clock_back": "kind = 'clock_step', share = 0.5, x = 4000, for_s = 5.0, how = 'back'",
    "clock_ahead": "kind = 'clock_step', share = 0.5, x = 4000, for_s = 5.0, how = 'ahead'",
    "scale_in_reclaim": "kind = 'scale_in', how = 'reclaim', x = 2.5, for_s = 8.0",
    "scale_in_spot": "kind = 'scale_in', how = 'spot', share = 0.2, x = 2.0",
    "scale_out": "kind = 'scale_out', share = 0.3, gap_s = 2.0",
    "release_all": "kind = 'release', share = 0.5, x = 2.0, gap_s = 0.8",
    "applied_late": "kind = 'applied_late', x = 0.5, for_s = 10.0, how = 'orders'",
    "applied_late_all": "kind = 'applied_late', x = 0.4, for_s = 10.0, how = 'all'",
    "answer_lost": "kind = 'answer_lost', share = 0.6, x = 0.3, for_s = 6.0",
    "garble_extra": "kind = 'garble', share = 0.6, x = 0.1, for_s = 6.0, how = 'extra'",
    "garble_late": "kind = 'garble', share = 0.6, x = 0.1, for_s = 6.0, how = 'extra late'",
    "garble_unframed": "kind = 'garble', share = 0.6, x = 0.1, for_s = 6.0, how = 'unframed'",
    "garble_early": "kind = 'garble', share = 0.6, x = 0.1, for_s = 6.0, how = 'early'",
    "garble_rot": "kind = 'garble', share = 0.6, x = 0.1, for_s = 6.0, how = 'rot'",
    "node_kill_leader": "kind = 'node_kill', on = 'core', count = 1, how = 'leader race drain'",
    "node_kill_power": "kind = 'node_kill', share = 0.4, for_s = 3.5, how = 'power'",
    "node_freeze": "kind = 'node_freeze', count = 2, for_s = 5.0, how = 'leader'",
    "node_freeze_giver": "kind = 'node_freeze', count = 1, for_s = 6.3, how = 'giver drain'",
    "node_slow": "kind = 'node_slow', share = 0.4, x = 6.0, for_s = 6.0",
    "node_slow_leader": "kind = 'node_slow', count = 1, x = 8.0, for_s = 12.0, how = 'leader'",
    "roll_term": "kind = 'roll_term', share = 1.0, x = 1.0, gap_s = 1.2, how = 'busy'",
    "roll_remove": "kind = 'roll_term', share = 0.3, x = 1.0, gap_s = 1.2, how = 'remove'",
    "herd_kill": "kind = 'herd_kill', share = 0.9, on = 'core'",
    "herd_off": "kind = 'herd_kill', share = 0.9, for_s = 2.0, how = 'off', on = 'core'",
    "herd_taken": "kind = 'herd_kill', for_s = 2.0, how = 'taken all', on = 'core'",
    "replace_core": "kind = 'replace_core', how = 'leader', x = 2.0",
    "replace_planned": "kind = 'replace_core', how = 'planned', x = 2.0",
    "hup": "kind = 'hup', share = 1.0, gap_s = 2.0",
    "reset_conns": "kind = 'reset_conns', share = 0.6, x = 0.8",
    "core_cut_leader": "kind = 'core_cut', count = 1, for_s = 6.0, how = 'leader race'",
    "core_cut_all": "kind = 'core_cut', count = 2, for_s = 6.0, how = 'all'",
    "core_cut_one_way": "kind = 'core_cut', count = 2, for_s = 6.0, how = 'one_way'",
    "core_cut_relieve": "kind = 'core_cut', count = 1, for_s = 6.0, how = 'relieve'",
    "core_cut_lure": "kind = 'core_cut', count = 1, for_s = 6.0, how = 'lure drain'",
    "node_cut_all": "kind = 'node_cut', share = 0.35, for_s = 8.0, how = 'all meet'",
    "node_cut_servers": "kind = 'node_cut', share = 0.3, for_s = 6.0, how = 'servers'",
    "lossy": "kind = 'lossy', x = 0.04, for_s = 8.0",
    "down_silent": "kind = 'platform_down', for_s = 7.0, how = 'silent lapse'",
    "down_busy": "kind = 'platform_down', for_s = 7.0, how = 'busy lapse'",
    "down_reset": "kind = 'platform_down', for_s = 7.0, how = 'reset'",
    "down_nodes": "kind = 'platform_down', share = 0.4, for_s = 8.0, how = 'nodes busy revoke meet drain'",
    "down_leader": "kind = 'platform_down', count = 1, for_s = 8.0, how = 'nodes leader many'",
    "platform_slow": "kind = 'platform_slow', x = 90.0, for_s = 6.0",
    "platform_lost": "kind = 'platform_lost', x = 0.5, for_s = 6.0, how = ''",
    "platform_lost_late": "kind = 'platform_lost', x = 0.5, for_s = 8.0, how = 'late'",
    "platform_compact": "kind = 'platform_compact', x = 6.0, for_s = 8.0, how = 'drain'",
    "config_storm": "kind = 'config_storm', for_s = 6.0, gap_s = 0.25",
    "big_config": "kind = 'big_config', count = 400",
    "retry_abuse": "kind = 'retry_abuse', share = 0.4, x = 3.0, for_s = 6.0",
    "give_up": "kind = 'give_up', share = 0.4, for_s = 6.0",
    "burst": "kind = 'burst', x = 2.2, for_s = 4.0",
    "burst_first_class": "kind = 'burst', class = '@c0', x = 3.0, for_s = 3.0",
    "revoke": "kind = 'revoke', count = 3, gap_s = 0.5",
    "revoke_last": "kind = 'revoke', count = 3, gap_s = 0.5, how = 'last'",
    "hot_first": "kind = 'hot_tenant', x = 6.0, for_s = 9.0, count = 1",
    "hot_second": "kind = 'hot_tenant', x = 7.5, for_s = 9.0, count = 2",
    "hot_small": "kind = 'hot_tenant', x = 7.5, for_s = 9.0, count = 12",
    "quota_down": "kind = 'config_change', how = 'quota down'",
    "quota": "kind = 'config_change', how = 'quota'",
    "topup": "kind = 'config_change', how = 'topup'",
    "tenant": "kind = 'config_change', how = 'tenant'",
    "srv_cut_reborn": "kind = 'srv_cut', share = 0.25, for_s = 4.0, how = 'reborn'",
    "node_cut_reborn": "kind = 'node_cut', share = 0.3, for_s = 5.0, how = 'servers reborn'",
    "node_freeze_renewed": "kind = 'node_freeze', count = 1, for_s = 5.0, how = 'renewed'",
    "grey_first_service": "kind = 'srv_grey', service = '@s0', share = 1.0, x = 0.4, for_s = 5.0, how = 'errors all'",
    "add": "kind = 'add_nodes'",
    "deadly": "kind = 'poison', how = 'deadly', class = '@c0', share = 0.03, for_s = 20.0",
    "deadly_rare": "kind = 'poison', how = 'deadly', class = '@c0', share = 0.004, for_s = 12.0",
    "deadly_short": "kind = 'poison', how = 'deadly', class = '@c0', share = 0.1, for_s = 4.0",
    "shift_first_zone": "kind = 'shift', zone = '@z0', share = 0.6, for_s = 8.0",
}

PLANNED_KINDS = ("scale_in_reclaim", "scale_in_spot", "scale_out", "release_all", "roll_term", "roll_remove",
           "hup", "config_storm", "big_config", "replace_planned", "revoke", "revoke_last", "quota_down",
           "quota", "topup", "tenant")

# Days by name: events with their start in seconds. The comments name what each group tests.
DAYS = {
    # Isolated nodes must learn of revoked keys from neighbouring nodes.
    "keys_taken_behind_cuts": [("node_cut_all", 4.0), ("revoke_last", 5.0), ("revoke", 18.0), ("core_cut_all", 17.0)],
    "keys_taken_in_outages": [("down_nodes", 4.0), ("revoke", 5.0), ("roll_term", 6.0), ("revoke_last", 20.0), ("down_busy", 19.0)],
    "keys_move_between_customers": [("tenant", 4.0), ("node_freeze", 4.5), ("tenant", 9.0), ("config_storm", 9.5), ("tenant", 21.0)],
    # A customer far over its limit while the node that counts its usage changes.
    "hot_customer_holder_killed": [("hot_first", 3.0), ("node_kill_leader", 6.0), ("replace_core", 9.0), ("hot_second", 17.0), ("node_freeze_renewed", 20.0)],
    "hot_customer_all_killed": [("hot_second", 3.0), ("herd_kill", 6.0), ("hot_first", 18.0), ("herd_off", 21.0)],
    "hot_small_customer": [("hot_small", 3.0), ("node_slow_leader", 5.0), ("hot_small", 18.0), ("core_cut_leader", 20.0)],
    "hot_customer_store_down": [("hot_first", 3.0), ("down_silent", 5.0), ("hot_small", 18.0), ("down_reset", 19.0)],
    "hot_customer_clients_move": [("hot_first", 3.0), ("shift_first_zone", 5.0), ("roll_term", 6.0), ("hot_second", 18.0), ("add", 19.0)],
    "hot_customers_two": [("hot_first", 3.0), ("hot_second", 4.0), ("burst", 5.0), ("hot_small", 18.0), ("retry_abuse", 19.0)],
    "quota_lowered_in_storm": [("quota_down", 4.0), ("config_storm", 4.5), ("core_cut_leader", 6.0), ("topup", 14.0), ("quota_down", 20.0), ("platform_slow", 20.5)],
    "quota_raised_and_lowered": [("quota", 3.0), ("topup", 7.0), ("quota_down", 11.0), ("hot_first", 12.0), ("quota", 20.0), ("node_kill_leader", 21.0)],
    # Endpoints that restart under the same names.
    "reborn_with_late_orders": [("srv_cut_reborn", 4.0), ("applied_late", 3.0), ("srv_cut_reborn", 18.0), ("platform_lost_late", 17.0)],
    "reborn_as_holder_changes": [("node_cut_reborn", 4.0), ("node_kill_leader", 5.0), ("srv_cut_reborn", 18.0), ("core_cut_leader", 18.5)],
    "reborn_while_leaving": [("release_all", 3.0), ("srv_cut_reborn", 4.0), ("scale_in_spot", 17.0), ("node_cut_reborn", 18.0)],
    # Combinations that revealed faults before.
    "takeovers_in_a_row": [("node_kill_leader", 3.0), ("node_freeze_renewed", 8.0), ("core_cut_leader", 15.0), ("node_slow_leader", 20.0)],
    "connections_reset_in_bursts": [("burst_first_class", 3.0), ("reset_conns", 4.0), ("lossy", 5.0), ("burst_first_class", 18.0), ("reset_conns", 19.0)],
    "first_service_fails": [("grey_first_service", 4.0), ("retry_abuse", 4.0), ("grey_first_service", 18.0), ("answer_lost", 18.0)],
}
DAYS_WITH_CLOSING = {
    "hot_customer_at_the_end": ([("hot_first", 26.0), ("quota_down", 4.0)], "kill_all"),
    "keys_taken_at_the_end": ([("revoke_last", 28.0), ("hot_small", 20.0)], "power_off_all"),
}
# Requests that crash endpoints while the nodes that count the crashes change.
CRASH_DAYS = {
    "deadly_holder_killed": [("deadly", 3.0), ("node_kill_leader", 6.0), ("replace_core", 9.0), ("node_freeze_renewed", 15.0)],
    "deadly_store_down": [("deadly_rare", 3.0), ("down_silent", 5.0), ("deadly_short", 18.0), ("herd_kill", 20.0)],
    "deadly_in_bursts": [("deadly_short", 4.0), ("burst_first_class", 4.0), ("release_all", 5.0), ("deadly_short", 17.0), ("node_cut_all", 17.5)],
}

PAIRS = [
    ("down_busy", "node_freeze"),
    ("down_silent", "scale_in_spot"),
    ("answer_lost", "release_all"),
    ("applied_late", "node_kill_leader"),
    ("applied_late", "replace_core"),
    ("platform_lost_late", "node_freeze_giver"),
    ("platform_lost_late", "herd_kill"),
    ("config_storm", "roll_term"),
    ("config_storm", "core_cut_leader"),
    ("big_config", "node_cut_all"),
    ("platform_compact", "reuse_drain"),
    ("core_cut_one_way", "release_all"),
    ("platform_slow", "node_kill_leader"),
    ("down_nodes", "roll_term"),
    ("garble_late", "retry_abuse"),
    ("reuse_crash", "srv_crash_dark"),
    ("clock_back", "core_cut_leader"),
    ("clock_ahead", "applied_late"),
    ("lossy", "roll_term"),
    ("srv_cut", "down_silent"),
]


def format_event(name, at):
    return "  { at = %.2f, %s },\n" % (at, EVENT_KINDS[name].replace("'", '"'))


def format_day(name, seed, events, closing=None):
    plan = "".join(format_event(kind, at) for kind, at in events if kind in PLANNED_KINDS)
    faults = "".join(format_event(kind, at) for kind, at in events if kind not in PLANNED_KINDS)
    # Every day also loads models and changes the configuration.
    plan += '  { at = 3.0, kind = "model_shift", count = 3, for_s = 5.0 },\n'
    plan += '  { at = 18.0, kind = "model_shift", count = 3, for_s = 5.0 },\n'
    plan += '  { at = 6.2, kind = "config_change", how = "idle" },\n'
    plan += '  { at = 20.4, kind = "config_change", how = "timeout" },\n'
    text = 'name = "%s"\nslot = "trouble"\nseed = %d\n' % (name, seed)
    if closing:
        text += "closing = %s\n" % closing
    return text + "plan = [\n%s]\nfaults = [\n%s]\n" % (plan, faults)


def write(directory, name, text):
    (directory / ("%s.toml" % name)).write_text(text, encoding="utf-8")


def write_days():
    DAYS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    seed = 5000
    for name, events in DAYS.items():
        seed += 1
        write(DAYS_DIRECTORY, name, format_day(name, seed, events))
    for name, (events, closing) in DAYS_WITH_CLOSING.items():
        seed += 1
        write(DAYS_DIRECTORY, name, format_day(name, seed, events, '{ kind = "%s", down_s = 1.0 }' % closing))
    for name, events in CRASH_DAYS.items():
        seed += 1
        write(DAYS_DIRECTORY, name, format_day(name, seed, events))


def write_every_kind(directory):
    directory.mkdir(parents=True, exist_ok=True)
    seed = 1000
    for name in EVENT_KINDS:
        seed += 1
        write(directory, "twice_" + name, format_day("twice-" + name, seed, [(name, 5.0), (name, 19.0)]))
    for first, second in PAIRS:
        seed += 1
        events = [(first, 5.0), (second, 6.5), (first, 19.5), (second, 18.6)]
        write(directory, "pair_%s_%s" % (first, second), format_day("pair-%s-%s" % (first, second), seed, events))
    for closing in ("power_off_all", "wipe_after_ack", "kill_all"):
        seed += 1
        text = format_day("closing-" + closing, seed, [("config_storm", 28.0), ("applied_late", 24.0)],
                   '{ kind = "%s", down_s = 1.0, how = "timed" }' % closing)
        write(directory, "closing_" + closing, text)


def main():
    if len(sys.argv) == 3 and sys.argv[1] == "--every-kind":
        write_every_kind(pathlib.Path(sys.argv[2]))
    elif len(sys.argv) == 1:
        write_days()
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
