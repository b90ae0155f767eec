"""Incremental reading of an XMPP stream with expat: whole stanzas as they stood on the wire."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from xml.etree.ElementTree import Element, TreeBuilder
from xml.parsers import expat

from sageturn.frontends.xmpp.errors import STREAMS, StreamFault

STANZA_MOST = 65536
HEADER_MOST = 4096
DEPTH_MOST = 64
CLIENT = "jabber:client"


@dataclass(frozen=True, slots=True)
class Opened:
    attributes: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stanza:
    raw: bytes
    element: Element


@dataclass(frozen=True, slots=True)
class Closed:
    """The other side's </stream:stream>."""


Piece = Opened | Stanza | Closed


def _name(name: str) -> str:
    space, _, local = name.rpartition(" ")
    return f"{{{space}}}{local}" if space else local


class StreamParser:
    """One stream; after TLS or SASL a new one takes its place, as the stream starts again."""

    def __init__(self) -> None:
        parser = expat.ParserCreate("UTF-8", " ")
        defer = getattr(parser, "SetReparseDeferralEnabled", None)
        if defer is not None:
            defer(False)  # else a stanza that came in small pieces would be held back
        parser.buffer_text = True
        parser.StartElementHandler = self._start
        parser.EndElementHandler = self._end
        parser.CharacterDataHandler = self._text
        parser.XmlDeclHandler = self._declaration
        parser.StartNamespaceDeclHandler = self._namespace
        parser.StartDoctypeDeclHandler = self._forbidden
        parser.EntityDeclHandler = self._forbidden
        parser.ProcessingInstructionHandler = self._forbidden
        parser.CommentHandler = self._forbidden
        self._parser = parser
        self._depth = 0
        self._kept = bytearray()  # bytes from ``_from`` on: those of a stanza that is not yet whole
        self._from = 0
        self._fed = 0
        self._began = 0
        self._bare = False  # nothing has come since the last start tag
        self._builder = TreeBuilder()
        self.pieces: deque[Piece] = deque()

    @property
    def mid_stanza(self) -> bool:
        return self._depth > 1

    def feed(self, data: bytes | memoryview) -> None:
        self._kept += data
        self._fed += len(data)
        try:
            self._parser.Parse(bytes(data), False)
        except expat.ExpatError as error:
            if error.code == expat.errors.codes[expat.errors.XML_ERROR_UNBOUND_PREFIX]:
                raise StreamFault("bad-namespace-prefix") from None
            raise StreamFault("not-well-formed", expat.ErrorString(error.code)) from None
        if self._depth <= 1 and (self._depth or self._fed <= HEADER_MOST):
            # Between stanzas nothing older than an unfinished tag is needed again.
            self._drop(self._parser.CurrentByteIndex if self._depth else 0)
        if len(self._kept) > (STANZA_MOST if self._depth else HEADER_MOST):
            raise StreamFault("policy-violation", "too large")

    def _drop(self, upto: int) -> None:
        if upto > self._from:
            del self._kept[: upto - self._from]
            self._from = upto

    # ------------------------------------------------------------ expat's handlers

    def _forbidden(self, *_: object) -> None:
        raise StreamFault("restricted-xml")

    def _declaration(self, _version: str, encoding: str | None, _standalone: int) -> None:
        if encoding is not None and encoding.upper() != "UTF-8":
            raise StreamFault("unsupported-encoding")

    def _namespace(self, prefix: str | None, _uri: str) -> None:
        # A stanza is passed on as it stood; it may lean on no prefix that the next stream lacks.
        if self._depth == 0 and prefix not in (None, "stream", "xml"):
            raise StreamFault("bad-namespace-prefix")

    def _start(self, name: str, attributes: dict[str, str]) -> None:
        if self._depth == 0:
            if name != f"{STREAMS} stream":
                raise StreamFault("invalid-namespace")
            self.pieces.append(Opened(attributes))
        else:
            if self._depth == 1:
                self._began = self._parser.CurrentByteIndex
                self._builder = TreeBuilder()
            self._builder.start(_name(name), {_name(k): v for k, v in attributes.items()})
        self._bare = True
        self._depth += 1
        if self._depth > DEPTH_MOST:
            raise StreamFault("policy-violation", "too deep")

    def _end(self, name: str) -> None:
        self._depth -= 1
        if self._depth == 0:
            self.pieces.append(Closed())
            return
        self._builder.end(_name(name))
        if self._depth == 1:
            end = self._tag_end(self._parser.CurrentByteIndex - self._from)
            raw = bytes(self._kept[self._began - self._from : end])
            if len(raw) > STANZA_MOST:
                raise StreamFault("policy-violation", "too large")
            self.pieces.append(Stanza(raw, self._builder.close()))
            self._drop(self._from + end)
        self._bare = False

    def _tag_end(self, at: int) -> int:
        """Where the element that ends here ends. Expat points at an end tag, but past an empty element."""
        if self._bare and self._kept[at - 2 : at] == b"/>":
            return at
        return self._kept.index(b">", at) + 1

    def _text(self, data: str) -> None:
        self._bare = False
        if self._depth > 1:
            self._builder.data(data)
        elif data.strip():
            raise StreamFault("bad-format")
