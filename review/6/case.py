"""A worker spoils the ids of events; see claim.txt."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from platform_standin import run  # noqa: E402
from spoiled_streams import play  # noqa: E402


async def main(record, folder, trouble, nodes):
    # Two fleets side by side, one for each fault.
    results = await asyncio.gather(
        # The id of the first piece is wrong, and above those of all others.
        play(record, folder, nodes, "first", trouble, batch=1, spoiled_piece=1, spoiled_id=71),
        # Pieces 7, 8 and 9 are sent at once; the id of piece 8 is wrong.
        play(record, folder, nodes, "batch", trouble, batch=3, spoiled_piece=8, spoiled_id=28))
    return 2 if 2 in results else max(results)


run(main)
