"""Parses an XMPP stream incrementally with expat, into stanzas with their original bytes.

The memory of a parser is bounded, whatever the peer sends: the bytes of one incomplete stanza, a bounded part
of its tree, and the names that expat remembers. Expat never forgets a name and never shrinks a buffer, so it
is replaced between two pieces of input once it has seen many names, or a large stanza.
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple
from xml.etree.ElementTree import Element
from xml.parsers import expat
from xml.sax.saxutils import quoteattr

from sageturn.frontends.xmpp.errors import StreamError
from sageturn.frontends.xmpp.namespaces import STREAMS_NS
from sageturn.frontends.xmpp.protocol import StreamCondition
from sageturn.frontends.xmpp.stanza_tree import StanzaTree

MAX_HEADER_BYTES = 4096
MAX_ELEMENT_DEPTH = 64
MAX_REMEMBERED_NAMES = 256  # distinct names after which expat is replaced
LARGE_STANZA_BYTES = 8192  # expat is replaced after a stanza of this size, whose buffers it would keep
TEXT_BUFFER_BYTES = 1024

# Estimates of memory, for ``held_bytes``.
PARTIAL_STANZA_COPIES = 2  # the stanza's bytes, and expat's copy of an incomplete tag
EVENT_BYTES = 640  # a queued event with a small tree, without its bytes
NAME_BYTES = 256  # a name that expat and its Python binding remember

_HANDLERS = (
    "StartElementHandler",
    "EndElementHandler",
    "CharacterDataHandler",
    "XmlDeclHandler",
    "StartNamespaceDeclHandler",
    "StartDoctypeDeclHandler",
    "EntityDeclHandler",
    "ProcessingInstructionHandler",
    "CommentHandler",
)
_ROOT_TAG_NAME = re.compile(rb"<([^\s/>]+)")


class StanzaLimits(NamedTuple):
    """Limits of one stanza: its bytes, and its distinct names of elements, attributes and namespaces."""

    max_bytes: int
    max_names: int


LOGIN_LIMITS = StanzaLimits(16384, 256)  # RFC 6120, 13.12, asks for 10,000 bytes
SESSION_LIMITS = StanzaLimits(65536, 1024)  # once the session is established


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """Event of the peer's stream header."""

    attributes: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Stanza:
    """Event of a complete element of the stream, with its bytes and its parsed form.

    Attributes:
        raw: the stanza as it was received.
        element: its tree, from which parts of a long stanza are missing (``StanzaTree``).
        is_truncated: True if a part is missing.
    """

    raw: bytes
    element: Element
    is_truncated: bool = False

    def without_tree(self) -> Stanza:
        """Return the stanza with its outermost element alone, for one that is kept."""
        outermost = Element(self.element.tag, {"type": self.element.get("type", "")})
        return Stanza(self.raw, outermost, is_truncated=True)


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """Event of the peer's ``</stream:stream>``."""


StreamEvent = StreamOpened | Stanza | StreamClosed


class StreamParser:
    """Parser of one stream. A stream that restarts after TLS or SASL needs a new parser.

    Attributes:
        events: the events that have not been taken yet.
        limits: the limits above which a stanza is an error; they may be raised at any time.
    """

    def __init__(self, limits: StanzaLimits = LOGIN_LIMITS) -> None:
        self.events: deque[StreamEvent] = deque()
        self.limits = limits
        self._received_bytes = 0
        self._queued_bytes = 0  # bytes of the stanzas in ``events``
        self._root_tag = b""  # name of the stream's element as it was written; empty before the header
        self._root_namespaces: dict[str | None, str] = {}
        self._unconsumed = bytearray()
        self._start_expat()

    def _start_expat(self) -> None:
        """Create an expat parser that has read nothing yet."""
        parser = expat.ParserCreate("UTF-8", " ")
        set_reparse_deferral = getattr(parser, "SetReparseDeferralEnabled", None)
        if set_reparse_deferral is not None:
            set_reparse_deferral(False)  # deferral would delay a stanza that arrives in small pieces
        parser.buffer_size = TEXT_BUFFER_BYTES
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
        # Offsets count from the start of the parser's input. ``_unconsumed`` holds the bytes from the offset
        # ``_unconsumed_start`` on, which belong to a stanza that is not yet complete.
        self._unconsumed_start = 0
        self._stanza_start = 0
        self._is_empty_element = False  # True if nothing has followed the last start tag
        self._tree = StanzaTree()
        self._has_completed_stanza = False
        self._has_large_buffers = False

    @property
    def is_mid_stanza(self) -> bool:
        """True if a stanza has begun that is not yet complete."""
        return self._depth > 1

    @property
    def held_bytes(self) -> int:
        """Estimate of the memory that the peer's input takes: incomplete input, events and names."""
        return (
            PARTIAL_STANZA_COPIES * len(self._unconsumed)
            + self._tree.estimated_bytes
            + EVENT_BYTES * len(self.events)
            + self._queued_bytes
            + NAME_BYTES * len(self._parser.intern)
        )

    def pop_event(self) -> StreamEvent:
        """Remove and return the oldest event; there must be one."""
        event = self.events.popleft()
        if isinstance(event, Stanza):
            self._queued_bytes -= len(event.raw)
        return event

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes and append to ``events``; raise StreamError if the stream is invalid."""
        self._unconsumed += data
        self._received_bytes += len(data)
        self._parse(bytes(data))
        if self._depth <= 1 and (self._depth or self._received_bytes <= MAX_HEADER_BYTES):
            # Between stanzas, only the bytes of an incomplete tag must be retained.
            self._discard(self._parser.CurrentByteIndex if self._depth else 0)
        if len(self._unconsumed) > (self.limits.max_bytes if self._depth else MAX_HEADER_BYTES):
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too large")
        self._limit_expat_memory()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.Parse(data, False)
        except expat.ExpatError as error:
            if error.code == expat.errors.codes[expat.errors.XML_ERROR_UNBOUND_PREFIX]:
                raise StreamError(StreamCondition.BAD_NAMESPACE_PREFIX) from error
            raise StreamError(StreamCondition.NOT_WELL_FORMED, expat.ErrorString(error.code)) from error

    def _discard(self, offset: int) -> None:
        if offset > self._unconsumed_start:
            del self._unconsumed[: offset - self._unconsumed_start]
            self._unconsumed_start = offset

    def _limit_expat_memory(self) -> None:
        """Replace expat once it holds much; raise StreamError if an incomplete stanza has too many names."""
        if self._depth == 0:
            return  # the stream has not begun, or has ended
        has_many_names = len(self._parser.intern) > MAX_REMEMBERED_NAMES
        if self._has_completed_stanza and (has_many_names or self._has_large_buffers):
            self._replace_expat()
        if len(self._parser.intern) > self.limits.max_names:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too many names")

    def _replace_expat(self) -> None:
        """Continue the stream with a new expat parser, which releases the memory of the old one.

        The new one reads a header with the same namespaces, and the incomplete stanza once more.
        """
        header = self._encode_root()
        partial_stanza = bytes(self._unconsumed)
        self._release_expat()
        self._start_expat()
        self._parse(header)
        self._unconsumed_start = len(header)
        self._parse(partial_stanza)

    def close(self) -> None:
        """Release all memory; nothing may be parsed any more."""
        self._release_expat()
        self._unconsumed = bytearray()
        self._tree = StanzaTree()
        self._depth = 0
        self.events.clear()
        self._queued_bytes = 0

    def _release_expat(self) -> None:
        """Cut the cycle of this object, expat and its handlers, which waits for a garbage collection."""
        for handler in _HANDLERS:
            setattr(self._parser, handler, None)

    def _encode_root(self) -> bytes:
        declarations = "".join(
            f" xmlns{':' + prefix if prefix else ''}={quoteattr(uri)}"
            for prefix, uri in self._root_namespaces.items()
        )
        return b"<%s%s>" % (self._root_tag, declarations.encode())

    # ------------------------------------------------------------ expat's handlers

    def _on_forbidden(self, *_: object) -> None:
        raise StreamError(StreamCondition.RESTRICTED_XML)

    def _on_declaration(self, _version: str, encoding: str | None, _standalone: int) -> None:
        if encoding is not None and encoding.upper() != "UTF-8":
            raise StreamError(StreamCondition.UNSUPPORTED_ENCODING)

    def _on_namespace(self, prefix: str | None, uri: str) -> None:
        # Stanzas are forwarded unchanged, so they may only use prefixes that the other stream declares too.
        if self._depth == 0:
            if prefix not in (None, "stream", "xml"):
                raise StreamError(StreamCondition.BAD_NAMESPACE_PREFIX)
            self._root_namespaces[prefix] = uri or ""

    def _on_start(self, name: str, attributes: dict[str, str]) -> None:
        if self._depth == 0:
            self._on_root(name, attributes)
        else:
            if self._depth == 1:
                self._stanza_start = self._parser.CurrentByteIndex
                self._tree = StanzaTree()
            self._tree.start(name, attributes)
        self._is_empty_element = True
        self._depth += 1
        if self._depth > MAX_ELEMENT_DEPTH:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too deep")

    def _on_root(self, name: str, attributes: dict[str, str]) -> None:
        if self._root_tag:
            return  # a new expat parser reads the header again
        if name != f"{STREAMS_NS} stream":
            raise StreamError(StreamCondition.INVALID_NAMESPACE)
        tag = _ROOT_TAG_NAME.match(self._unconsumed, self._parser.CurrentByteIndex)
        assert tag is not None, "expat has reported a start tag here"
        self._root_tag = bytes(tag[1])
        self.events.append(StreamOpened(attributes))

    def _on_end(self, name: str) -> None:
        self._depth -= 1
        if self._depth == 0:
            self.events.append(StreamClosed())
            return
        self._tree.end(name)
        if self._depth == 1:
            self._append_stanza()
        self._is_empty_element = False

    def _append_stanza(self) -> None:
        end = self._find_tag_end(self._parser.CurrentByteIndex - self._unconsumed_start)
        raw = bytes(self._unconsumed[self._stanza_start - self._unconsumed_start : end])
        if len(raw) > self.limits.max_bytes:
            raise StreamError(StreamCondition.POLICY_VIOLATION, "too large")
        self.events.append(Stanza(raw, self._tree.close(), self._tree.is_truncated))
        self._queued_bytes += len(raw)
        self._tree = StanzaTree()
        self._has_completed_stanza = True
        self._has_large_buffers |= len(raw) > LARGE_STANZA_BYTES
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
            self._tree.add_text(data)
        elif data.strip():
            raise StreamError(StreamCondition.BAD_FORMAT)
