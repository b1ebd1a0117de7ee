"""Codec of the messages that entry VMs exchange."""

from typing import Any, NamedTuple

import msgspec

from hibiscusspar.errors import StepError

__all__ = ["Exchange", "MessageCodec"]

_STEP = "exchange.decode"


class Exchange(NamedTuple):
    """Messages from one VM to another that are sent in one body."""

    sender: str
    messages: list[Any]


class _Envelope(msgspec.Struct):
    kind: str
    body: msgspec.Raw


class _Body(msgspec.Struct):
    sender: str
    messages: list[_Envelope]


class MessageCodec:
    """Encoder and decoder of messages, identified by the name of their type.

    Parameters
    ----------
    types_by_topic : dict of str to sequence of type
        The ``MESSAGES`` of each topic; a message is named ``topic.ClassName``.
    """

    def __init__(self, types_by_topic):
        self._decoders = {}
        self._kinds = {}
        for topic, types in types_by_topic.items():
            for message_type in types:
                kind = f"{topic}.{message_type.__name__}"
                self._decoders[kind] = msgspec.json.Decoder(message_type)
                self._kinds[message_type] = kind
        self._encoder = msgspec.json.Encoder()
        self._envelopes = msgspec.json.Decoder(_Body)

    def encode(self, sender, messages):
        """Return the messages as a JSON body."""
        envelopes = [
            _Envelope(self._kinds[type(m)], msgspec.Raw(self._encoder.encode(m)))
            for m in messages
        ]
        return self._encoder.encode(_Body(sender, envelopes))

    def decode(self, data):
        """Decode a body, skipping messages of kinds that are not known here.

        A peer that runs a newer version may send such kinds.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Exchange

        Raises
        ------
        StepError
            If the body or a message of a known kind is malformed.
        """
        try:
            body = self._envelopes.decode(data)
            messages = [
                self._decoders[envelope.kind].decode(envelope.body)
                for envelope in body.messages
                if envelope.kind in self._decoders
            ]
        except msgspec.MsgspecError as error:
            raise StepError(_STEP, "", str(error)) from error
        return Exchange(body.sender, messages)

    def kind(self, message):
        """Return the name of a message's type, ``topic.ClassName``."""
        return self._kinds[type(message)]
