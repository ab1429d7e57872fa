"""One call as a caller makes it, with each message shown as it comes."""

from __future__ import annotations

from collections.abc import Callable

from ospreybridge.core.circuits import State, TrunkGroup
from ospreybridge.net.loop import Loop
from ospreybridge.settings.server import Peer, Server
from ospreybridge.signalling import causes, isup
from ospreybridge.signalling.isup import Isup
from ospreybridge.standins.callers import FORWARD
from ospreybridge.standins.endpoint import Endpoint, Place


class OneCall(Endpoint):
    def __init__(
        self,
        settings: Server,
        called: str,
        calling: str,
        category: int,
        wide: bool,
        say: Callable[[str], None],
    ) -> None:
        self.settings, self.called, self.calling, self.say = settings, called, calling, say
        self.category, self.wide = category, wide
        self.me = next(peer for peer in settings.peers if peer.role == "callers")
        self.names = {peer.point_code: peer.name for peer in settings.peers}
        self.begun = 0.0
        self.cic = 0
        self.stood = self.over = False
        server = Peer(
            settings.name, "exchange", settings.point_code, self.me.context, dial=("", 0), cics=self.me.cics
        )
        super().__init__(Place(Loop(), self.me.point_code, server, lambda: settings.listen))

    def run(self, within: float, hold: float) -> bool:
        """Whether the call stood; times in milliseconds."""
        loop = self.loop
        if not loop.run_until(lambda: self.up, within):
            self.say(f"no association with {self.settings.name} within {within:.0f} ms")
            return False
        loop.run_until(lambda: False, 300.0)  # its circuits are reset first
        group = TrunkGroup("access", self.me.cics, self.me.point_code, self.settings.point_code, set())
        for circuit in group.circuits.values():
            group.set(circuit, State.IDLE)
        cics = group.choose(2 if self.wide else 1)
        self.cic, self.begun = cics[0], loop.now
        medium = isup.TWO_TIMES_64 if self.wide else isup.SPEECH
        given = {
            **FORWARD,
            isup.CATEGORY: bytes((self.category,)),
            isup.REQUIREMENT: bytes((medium,)),
            isup.CALLED: isup.called(self.called),
            isup.CALLING: isup.calling(self.calling),
        }
        self.say(f"IAM to {self.settings.name} on circuit {self.cic}: {self.calling} calls {self.called}")
        self.send(Isup(self.cic, isup.IAM, given))
        loop.run_until(lambda: self.stood or self.over, within)
        if self.stood and hold:
            loop.run_until(lambda: self.over, hold)
        if not self.over:
            self.send(Isup(self.cic, isup.REL, {isup.CAUSE: isup.cause_indicators(causes.NORMAL, 0)}))
            loop.run_until(lambda: self.over, 2_000.0)
        self.drop()
        return self.stood

    def isup(self, message: Isup) -> None:
        if message.cic != self.cic:
            return
        after = f"{self.loop.now - self.begun:8.1f} ms"
        words = isup.words(message.parameters.get(isup.USER_TO_USER))
        if message.type in (isup.ACM, isup.CON):
            by = self.names.get(words.get("via", -1), "the own office")
            tries = f", attempt {words['tries']}" if words.get("tries") else ""
            self.say(f"{after}  {message.name}: the call stands, by {by}{tries}")
            self.stood = True
        elif message.type == isup.REL:
            cause, _ = isup.cause(message.parameters[isup.CAUSE])
            back = f"; come back in {words['retry']} ms" if "retry" in words else ""
            self.say(f"{after}  REL: cause {cause}, {causes.name(cause)}{back}")
            self.send(Isup(self.cic, isup.RLC))
            self.over = True
        elif message.type == isup.RLC:
            self.say(f"{after}  RLC: released")
            self.over = True
        else:
            self.say(f"{after}  {message.name}")
