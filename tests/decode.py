"""Decodes a capture of exported PDUs with pycrate, independently of the router's own codecs.

Run: python -m tests.decode FILE.pcapng
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

from pcapng import FileScanner
from pcapng.blocks import EnhancedPacket
from pycrate_mobile.ISUP import parse_ISUP
from pycrate_mobile.M3UA import parse_M3UA
from pycrate_mobile.SCCP import parse_SCCP

HEADER_BYTES = 52  # exported-PDU tags before the frame


def decode(path: Path, every: int = 1) -> tuple[Counter[str], list[str]]:
    """Number of messages by name, and the malformed frames in hex.

    `every`: only each nth frame is decoded, as pycrate is slow.
    """
    names: Counter[str] = Counter()
    malformed = []
    with path.open("rb") as stream:
        packets = (block for block in FileScanner(stream) if isinstance(block, EnhancedPacket))
        for index, packet in enumerate(packets):
            names["frames"] += 1
            if index % every:
                continue
            frame = packet.packet_data[HEADER_BYTES:]
            message, error = parse_M3UA(frame)
            if not error and frame[2:4] == b"\1\1":
                protocol_data = message["ParamsDATA"][-1]["Val"]
                parse = parse_ISUP if protocol_data["SI"].get_val() == 5 else parse_SCCP
                message, error = parse(protocol_data["Data"].get_val())
            if error:
                malformed.append(frame.hex())
            else:
                names[type(message).__name__] += 1
    return names, malformed


if __name__ == "__main__":
    counts, malformed = decode(Path(sys.argv[1]))
    print(f"{counts.pop('frames')} frames, {len(malformed)} malformed")
    for name, count in counts.most_common():
        print(f"{count:>8}  {name}")
    sys.exit(bool(malformed))
