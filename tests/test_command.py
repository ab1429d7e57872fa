"""The command line with real processes: invalid settings, serve, reload, one call, a short scripted day."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from pcapng import FileScanner
from pcapng.blocks import EnhancedPacket

from tests.decode import decode

EXAMPLES = Path(__file__).parent.parent / "examples"
VALID_SETTINGS = """
exchange "cs1" number=1 point-code=1 listen="127.0.0.1:0" { prefix "371"; }
peer "cs2" role="exchange" plain=true number=2 point-code=2 context=12 { circuits "1-31"; prefix "372"; }
peer "callers" role="callers" plain=true point-code=2001 context=5 { circuits "1-31"; }
peer "office" role="office" plain=true point-code=1001 context=6 { circuits "1-31"; }
peer "list" role="list" plain=true point-code=16000 context=9
class "lookup" on-time=2000 deadline=9000
stop within=3000
"""


def run(*words: str, within: float = 60.0) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "ospreybridge", *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=within, check=False)


def wait(condition: object, within: float = 20.0) -> None:
    end = time.monotonic() + within
    while not condition():  # type: ignore[operator]
        assert time.monotonic() < end, "not in time"
        time.sleep(0.02)


@pytest.mark.parametrize(
    ("change", "line", "key"),
    [
        (("on-time=2000", "on-time=-3"), 7, "class on-time"),
        (("point-code=2 ", "point-code=99999 "), 3, "peer point-code"),
        (("number=2 ", ""), 3, "peer number"),
        (('"1-31"; prefix', '"31-1"; prefix'), 3, "peer / circuits"),
        (("stop within", "stopp within"), 8, "stopp"),
        (("context=12", "context=5"), 4, "peer context"),
        (('prefix "372"', 'prefix "371"'), 3, "prefix"),
        (("deadline=9000", "deadline=9"), 7, "class deadline"),
        (('class "lookup"', 'class "look'), 7, "not KDL"),
        (("context=12", "context=1e400"), 3, "peer context"),  # too large for a float
        (("deadline=9000", "deadline=-1e400"), 7, "class deadline"),
    ],
)
def test_invalid_settings_report_line_and_key_and_start_nothing(
    tmp_path: Path, change: tuple[str, str], line: int, key: str
) -> None:
    file = tmp_path / "bad.kdl"
    assert change[0] in VALID_SETTINGS
    file.write_text(VALID_SETTINGS.replace(*change))
    for words in (["check", str(file)], ["serve", str(file), "--port-file", str(tmp_path / "port")]):
        ended = run(*words)
        assert ended.returncode == 2, ended.stderr
        assert f"{file}:{line}:" in ended.stderr and key in ended.stderr
    assert not (tmp_path / "port").exists()


def test_all_examples_are_valid_and_cover_every_trouble() -> None:
    from ospreybridge.lab.script import TROUBLE_KINDS, load

    assert run("check", str(EXAMPLES / "cs1.kdl")).returncode == 0
    days = {path.stem.removeprefix("day-"): load(path) for path in EXAMPLES.glob("*day*.kdl")}
    assert set(TROUBLE_KINDS) <= set(days)
    for kind in TROUBLE_KINDS:
        assert kind in {trouble.kind for trouble in days[kind].troubles}


def test_serve_reloads_refuses_a_reload_carries_a_call_and_stops(tmp_path: Path) -> None:
    file, port_file, log = tmp_path / "cs1.kdl", tmp_path / "port", tmp_path / "log"
    file.write_text(VALID_SETTINGS)
    with log.open("wb") as out:
        command = [sys.executable, "-m", "ospreybridge", "serve", str(file), "--log-calls"]
        command += ["--port-file", str(port_file), "--capture", str(tmp_path / "a.pcapng")]
        server = subprocess.Popen(command, stderr=out)
    offices: subprocess.Popen[bytes] | None = None
    try:
        wait(lambda: port_file.exists() and port_file.read_text().strip())

        def logged(event: str) -> list[dict[str, object]]:
            lines = [json.loads(line) for line in log.read_text().splitlines() if line.endswith("}")]
            return [line for line in lines if line["event"] == event]

        wait(lambda: logged("serving"))
        file.write_text(VALID_SETTINGS.replace('prefix "372"', 'prefix "372" "399"'))
        server.send_signal(signal.SIGHUP)
        wait(lambda: logged("reloaded"))
        assert logged("reloaded")[0]["changed"] == ["prefixes"]
        file.write_text(VALID_SETTINGS.replace("point-code=2 ", "point-code=3 "))
        server.send_signal(signal.SIGHUP)
        wait(lambda: logged("reload refused"))
        assert server.poll() is None
        listening_file = tmp_path / "at.kdl"
        listening_file.write_text(
            VALID_SETTINGS.replace("127.0.0.1:0", f"127.0.0.1:{port_file.read_text().strip()}")
        )
        command = [sys.executable, "-m", "ospreybridge", "offices", str(listening_file), "--seconds", "30"]
        offices = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        wait(lambda: sum(line.get("peer") in ("office", "list") for line in logged("link up")) == 2)
        call = run("call", "3710001", "--settings", str(listening_file))
        assert call.returncode == 0 and "the call stands, by office" in call.stdout, call.stdout
        refused = run("call", "3720001", "--settings", str(listening_file))
        assert refused.returncode == 1 and "REL: cause" in refused.stdout, refused.stdout
        assert {line["ref"] for line in logged("call")} == {"1/1", "1/2"}
        server.send_signal(signal.SIGTERM)
        assert server.wait(10) == 0
        assert logged("stopped")
        with (tmp_path / "a.pcapng").open("rb") as stream:
            packets = [block for block in FileScanner(stream) if isinstance(block, EnhancedPacket)]
        assert len(packets) > 20 and all(b"m3ua" in packet.packet_data[:12] for packet in packets)
    finally:
        server.kill()
        server.wait()
        if offices is not None:
            offices.kill()
            offices.wait()


def test_short_day_with_troubles_breaks_no_rule_and_every_frame_is_decodable(tmp_path: Path) -> None:
    """Runs real processes with troubles; an independent decoder reads the captured frames."""
    script = tmp_path / "day.kdl"
    base = (EXAMPLES / "day-crash.kdl").read_text().split("trouble")[0]
    script.write_text(
        base.replace("seconds=16", "seconds=9").replace("warm-after=6000", "warm-after=3000")
        + 'trouble "crash" at=2 for=2 exchanges="3"\ntrouble "call-server-killed" at=3 for=1 exchanges="1"\n'
        + 'trouble "lost-circuits" at=4 for=3 share=0.5\ntrouble "link-cut" at=5 for=1 exchanges="2"\n'
        + 'trouble "cut-calls" at=6 share=1.0 back=1\ntrouble "deploy" at=5 for=4 exchanges="4" grace=1\n'
    )
    report, capture = tmp_path / "report.json", tmp_path / "day.pcapng"
    words = ["day", str(script), "--json", str(report), "--capture", str(capture)]
    ended = run(*words, within=120)
    data = json.loads(report.read_text())
    assert ended.returncode == 0, (data["broken"], data["faults"], ended.stderr[-2_000:])
    assert data["rules_broken"] == {} and data["unreadable"] == 0
    assert data["offered"] > 200 and data["in_time"] > 0.3 * data["offered"] and data["cut"] > 0
    names, malformed = decode(capture, every=5)
    assert malformed == [] and names["frames"] > 2_000 and names["InitialAddress"] > 50


def test_invalid_script_exits_with_2(tmp_path: Path) -> None:
    script = tmp_path / "day.kdl"
    script.write_text('day "x"\nclass "a" on-time=1 deadline=2\ntrouble "earthquake" at=1\n')
    ended = run("day", str(script))
    assert ended.returncode == 2 and f"{script}:3: trouble" in ended.stderr
