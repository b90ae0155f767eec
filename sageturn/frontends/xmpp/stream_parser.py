"""Parses an XMPP stream incrementally with expat, into stanzas with their original bytes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from xml.etree.ElementTree import Element, TreeBuilder
from xml.parsers import expat

from sageturn.frontends.xmpp.errors import StreamError
from sageturn.frontends.xmpp.namespaces import STREAMS_NS
from sageturn.frontends.xmpp.protocol import StreamCondition

MAX_STANZA_BYTES = 65536
MAX_HEADER_BYTES = 4096
MAX_ELEMENT_DEPTH = 64


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """Event of the peer's stream header."""

    attributes: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stanza:
    """Event of a complete element of the stream, with its bytes and its parsed form."""

    raw: bytes
    element: Element


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """Event of the peer's ``</stream:stream>``."""


StreamEvent = StreamOpened | Stanza | StreamClosed


def _qualified_name(name: str) -> str:
    """Convert a name from expat's form, ``namespace name``, to ElementTree's, ``{namespace}name``."""
    namespace, _, local_name = name.rpartition(" ")
    return f"{{{namespace}}}{local_name}" if namespace else local_name


class StreamParser:
    """Parser of one stream. A stream that restarts after TLS or SASL needs a new parser."""

    def __init__(self) -> None:
        parser = expat.ParserCreate("UTF-8", " ")
        set_reparse_deferral = getattr(parser, "SetReparseDeferralEnabled", None)
        if set_reparse_deferral is not None:
            set_reparse_deferral(False)  # deferral would delay a stanza that arrives in small pieces
        parser.buffer_text = True
        parser.StartElementHandler = self._on_start
        parser.EndElementHandler = self._on_end
        parser.CharacterDataHandler = self._on_text
        parser.XmlDeclHandler = self._on_declaration
        parser.StartNamespaceDeclHandler = self._on_namespace
        parser.StartDoctypeDeclHandler = self._on_forbidden
        parser.EntityDeclHandler = self._on_forbidden
        parser.ProcessingInstructionHandler = self._on_forbidden
        parser.CommentHandler = self._on_forbidden
        self._parser = parser
        self._depth = 0
        # Offsets count from the start of the stream. ``_unconsumed`` holds its bytes from the offset
        # ``_unconsumed_start`` on, which belong to a stanza that is not yet complete.
        self._unconsumed = bytearray()
        self._unconsumed_start = 0
        self._received_bytes = 0
        self._stanza_start = 0
        self._is_empty_element = False  # True if nothing has followed the last start tag
        self._builder = TreeBuilder()
        self.events: deque[StreamEvent] = deque()

    @property
    def is_mid_stanza(self) -> bool:
        """True if a stanza has begun that is not yet complete."""
        return self._depth > 1

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes and append to ``events``; raise StreamError if the stream is invalid."""
        self._unconsumed += data
        self._received_bytes += len(data)
        try:
            self._parser.Parse(bytes(data), False)
        except expat.ExpatError as error:
            if error.code == expat.errors.codes[expat.errors.XML_ERROR_UNBOUND_PREFIX]:
                raise StreamError(StreamCondition.BAD_NAMESPACE_PREFIX) from error
            raise StreamError(StreamCondition.NOT_WELL_FORMED, expat.ErrorString(error.code)) from error
        if self._depth <= 1 and (self._depth or self._received_bytes <= MAX_HEADER_BYTES):
            # Between stanzas, only the bytes of an incomplete tag must be retained.
            self._discard(self._parser.CurrentByteIndex if self._depth else 0)
        if len(self._unconsumed) > (MAX_STANZA_BYTES if self._depth else MAX_HEADER_BYTES):
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too large")

    def _discard(self, offset: int) -> None:
        if offset > self._unconsumed_start:
            del self._unconsumed[: offset - self._unconsumed_start]
            self._unconsumed_start = offset

    # ------------------------------------------------------------ expat's handlers

    def _on_forbidden(self, *_: object) -> None:
        raise StreamError(StreamCondition.RESTRICTED_XML)

    def _on_declaration(self, _version: str, encoding: str | None, _standalone: int) -> None:
        if encoding is not None and encoding.upper() != "UTF-8":
            raise StreamError(StreamCondition.UNSUPPORTED_ENCODING)

    def _on_namespace(self, prefix: str | None, _uri: str) -> None:
        # Stanzas are forwarded unchanged, so they may only use prefixes that the other stream declares too.
        if self._depth == 0 and prefix not in (None, "stream", "xml"):
            raise StreamError(StreamCondition.BAD_NAMESPACE_PREFIX)

    def _on_start(self, name: str, attributes: dict[str, str]) -> None:
        if self._depth == 0:
            if name != f"{STREAMS_NS} stream":
                raise StreamError(StreamCondition.INVALID_NAMESPACE)
            self.events.append(StreamOpened(attributes))
        else:
            if self._depth == 1:
                self._stanza_start = self._parser.CurrentByteIndex
                self._builder = TreeBuilder()
            qualified_attributes = {_qualified_name(key): value for key, value in attributes.items()}
            self._builder.start(_qualified_name(name), qualified_attributes)
        self._is_empty_element = True
        self._depth += 1
        if self._depth > MAX_ELEMENT_DEPTH:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too deep")

    def _on_end(self, name: str) -> None:
        self._depth -= 1
        if self._depth == 0:
            self.events.append(StreamClosed())
            return
        self._builder.end(_qualified_name(name))
        if self._depth == 1:
            self._append_stanza()
        self._is_empty_element = False

    def _append_stanza(self) -> None:
        end = self._find_tag_end(self._parser.CurrentByteIndex - self._unconsumed_start)
        raw = bytes(self._unconsumed[self._stanza_start - self._unconsumed_start : end])
        if len(raw) > MAX_STANZA_BYTES:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too large")
        self.events.append(Stanza(raw, self._builder.close()))
        self._discard(self._unconsumed_start + end)

    def _find_tag_end(self, position: int) -> int:
        """Return the position in ``_unconsumed`` after the element that has ended.

        ``position`` is expat's: it is before an end tag, but after the tag of an empty element.
        """
        if self._is_empty_element and self._unconsumed[position - 2 : position] == b"/>":
            return position
        return self._unconsumed.index(b">", position) + 1

    def _on_text(self, data: str) -> None:
        self._is_empty_element = False
        if self._depth > 1:
            self._builder.data(data)
        elif data.strip():
            raise StreamError(StreamCondition.BAD_FORMAT)
