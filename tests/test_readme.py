"""The Python example in README.md runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    assert len(blocks) == 1
    names: dict[str, object] = {}
    exec(blocks[0], names)
    assert names["sends"]
