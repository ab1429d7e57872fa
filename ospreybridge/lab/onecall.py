"""Makes one call as a caller and prints each message of the call server as it arrives."""

from __future__ import annotations

from collections.abc import Callable

from ospreybridge.core.circuits import CircuitState, TrunkGroup
from ospreybridge.net.loop import EventLoop
from ospreybridge.settings.server import Peer, ServerSettings
from ospreybridge.signalling import causes, isup
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.callers import FORWARD_PARAMETERS
from ospreybridge.standins.endpoint import Endpoint, EndpointConfig


class OneCall(Endpoint):
    """The callers' endpoint of a settings file, for a single call.

    `wide`: the call takes two circuits. `output` prints one line.
    """

    def __init__(
        self,
        settings: ServerSettings,
        called: str,
        calling: str,
        category: int,
        wide: bool,
        output: Callable[[str], None],
    ) -> None:
        self.settings, self.called, self.calling, self.output = settings, called, calling, output
        self.category, self.wide = category, wide
        self.callers_peer = next(peer for peer in settings.peers if peer.role == "callers")
        self.peer_names = {peer.point_code: peer.name for peer in settings.peers}
        self.started_at = 0.0
        self.cic = 0
        self.established = self.ended = False
        server = Peer(
            settings.name,
            "exchange",
            settings.point_code,
            self.callers_peer.routing_context,
            dial_address=("", 0),
            cics=self.callers_peer.cics,
        )
        super().__init__(
            EndpointConfig(EventLoop(), self.callers_peer.point_code, server, lambda: settings.listen)
        )

    def run(self, timeout_ms: float, hold_ms: float) -> bool:
        """Makes the call, holds it and releases it; returns whether it was established."""
        loop = self.loop
        if not loop.run_until(lambda: self.up, timeout_ms):
            self.output(f"no association with {self.settings.name} within {timeout_ms:.0f} ms")
            return False
        loop.run_until(lambda: False, 300.0)  # the call server resets the circuits first
        group = TrunkGroup(
            "access", self.callers_peer.cics, self.callers_peer.point_code, self.settings.point_code, set()
        )
        for circuit in group.circuits.values():
            group.set_state(circuit, CircuitState.IDLE)
        cics = group.select(2 if self.wide else 1)
        self.cic, self.started_at = cics[0], loop.now
        medium = isup.TWO_TIMES_64 if self.wide else isup.SPEECH
        parameters = {
            **FORWARD_PARAMETERS,
            isup.CALLING_CATEGORY: bytes((self.category,)),
            isup.MEDIUM_REQUIREMENT: bytes((medium,)),
            isup.CALLED_NUMBER: isup.encode_called_number(self.called),
            isup.CALLING_NUMBER: isup.encode_calling_number(self.calling),
        }
        self.output(f"IAM to {self.settings.name} on circuit {self.cic}: {self.calling} calls {self.called}")
        self.send(IsupMessage(self.cic, isup.IAM, parameters))
        loop.run_until(lambda: self.established or self.ended, timeout_ms)
        if self.established and hold_ms:
            loop.run_until(lambda: self.ended, hold_ms)
        if not self.ended:
            self.send(
                IsupMessage(
                    self.cic, isup.REL, {isup.CAUSE_INDICATORS: isup.encode_cause(causes.NORMAL_CLEARING, 0)}
                )
            )
            loop.run_until(lambda: self.ended, 2_000.0)
        self.disconnect()
        return self.established

    def on_isup(self, message: IsupMessage) -> None:
        if message.cic != self.cic:
            return
        elapsed = f"{self.loop.now - self.started_at:8.1f} ms"
        user_words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
        if message.type in (isup.ACM, isup.CON):
            carried_by = self.peer_names.get(user_words.get("via", -1), "the own office")
            tries = f", attempt {user_words['tries']}" if user_words.get("tries") else ""
            self.output(f"{elapsed}  {message.name}: the call stands, by {carried_by}{tries}")
            self.established = True
        elif message.type == isup.REL:
            cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
            retry_hint = f"; come back in {user_words['retry']} ms" if "retry" in user_words else ""
            self.output(f"{elapsed}  REL: cause {cause}, {causes.name(cause)}{retry_hint}")
            self.send(IsupMessage(self.cic, isup.RLC))
            self.ended = True
        elif message.type == isup.RLC:
            self.output(f"{elapsed}  RLC: released")
            self.ended = True
        else:
            self.output(f"{elapsed}  {message.name}")
