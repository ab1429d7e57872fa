"""One call as a caller makes it, with each message shown as it comes."""

from __future__ import annotations

from collections.abc import Callable

from ospreybridge.core.circuits import CircuitState, TrunkGroup
from ospreybridge.net.loop import EventLoop
from ospreybridge.settings.server import Peer, ServerSettings
from ospreybridge.signalling import causes, isup
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.callers import FORWARD
from ospreybridge.standins.endpoint import Endpoint, Place


class OneCall(Endpoint):
    def __init__(
        self,
        settings: ServerSettings,
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
            settings.name,
            "exchange",
            settings.point_code,
            self.me.routing_context,
            dial_address=("", 0),
            cics=self.me.cics,
        )
        super().__init__(Place(EventLoop(), self.me.point_code, server, lambda: settings.listen))

    def run(self, within: float, hold: float) -> bool:
        """Whether the call stood; times in milliseconds."""
        loop = self.loop
        if not loop.run_until(lambda: self.up, within):
            self.say(f"no association with {self.settings.name} within {within:.0f} ms")
            return False
        loop.run_until(lambda: False, 300.0)  # its circuits are reset first
        group = TrunkGroup("access", self.me.cics, self.me.point_code, self.settings.point_code, set())
        for circuit in group.circuits.values():
            group.set_state(circuit, CircuitState.IDLE)
        cics = group.select(2 if self.wide else 1)
        self.cic, self.begun = cics[0], loop.now
        medium = isup.TWO_TIMES_64 if self.wide else isup.SPEECH
        given = {
            **FORWARD,
            isup.CALLING_CATEGORY: bytes((self.category,)),
            isup.MEDIUM_REQUIREMENT: bytes((medium,)),
            isup.CALLED_NUMBER: isup.encode_called_number(self.called),
            isup.CALLING_NUMBER: isup.encode_calling_number(self.calling),
        }
        self.say(f"IAM to {self.settings.name} on circuit {self.cic}: {self.calling} calls {self.called}")
        self.send(IsupMessage(self.cic, isup.IAM, given))
        loop.run_until(lambda: self.stood or self.over, within)
        if self.stood and hold:
            loop.run_until(lambda: self.over, hold)
        if not self.over:
            self.send(
                IsupMessage(
                    self.cic, isup.REL, {isup.CAUSE_INDICATORS: isup.encode_cause(causes.NORMAL_CLEARING, 0)}
                )
            )
            loop.run_until(lambda: self.over, 2_000.0)
        self.drop()
        return self.stood

    def isup(self, message: IsupMessage) -> None:
        if message.cic != self.cic:
            return
        after = f"{self.loop.now - self.begun:8.1f} ms"
        words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
        if message.type in (isup.ACM, isup.CON):
            by = self.names.get(words.get("via", -1), "the own office")
            tries = f", attempt {words['tries']}" if words.get("tries") else ""
            self.say(f"{after}  {message.name}: the call stands, by {by}{tries}")
            self.stood = True
        elif message.type == isup.REL:
            cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
            back = f"; come back in {words['retry']} ms" if "retry" in words else ""
            self.say(f"{after}  REL: cause {cause}, {causes.name(cause)}{back}")
            self.send(IsupMessage(self.cic, isup.RLC))
            self.over = True
        elif message.type == isup.RLC:
            self.say(f"{after}  RLC: released")
            self.over = True
        else:
            self.say(f"{after}  {message.name}")
