"""Builds the tree of one stanza, of which only a bounded part is kept.

A tree takes many times the memory of the bytes that it was parsed from: a stanza of 64 KiB can hold 16,000
elements. The relay forwards a stanza by its bytes, and reads little of its tree.
"""

from __future__ import annotations

from xml.etree.ElementTree import Element, TreeBuilder

from sageturn.frontends.xmpp.namespaces import RELAY_NS

MAX_TREE_BYTES = 32768  # estimate of a tree's memory above which nothing more is added to it
MAX_REPORT_BYTES = 4096  # further memory for the relay's own elements, such as load reports
ELEMENT_BYTES = 256  # estimate of an element's memory without its strings
ATTRIBUTE_BYTES = 160  # estimate of an attribute's memory without its strings

_RELAY_PREFIX = f"{RELAY_NS} "


def qualified_name(name: str) -> str:
    """Convert a name from expat's form, ``namespace name``, to ElementTree's, ``{namespace}name``."""
    namespace, _, local_name = name.rpartition(" ")
    return f"{{{namespace}}}{local_name}" if namespace else local_name


class StanzaTree:
    """Builder of a stanza's tree. Elements, attributes and text beyond the limit are left out.

    Children of the stanza in the relay's own namespace have a limit of their own, so that a load report is
    found in a long stanza too.

    Attributes:
        is_truncated: True if a part of the stanza has been left out.
    """

    __slots__ = ("_builder", "_kept_depth", "_omitted_depth", "_size", "is_truncated")

    def __init__(self) -> None:
        self._builder = TreeBuilder()
        self._size = 0
        self._kept_depth = 0  # number of open elements that are in the tree
        self._omitted_depth = 0  # number of open elements that are not, all of them inside the others
        self.is_truncated = False

    @property
    def estimated_bytes(self) -> int:
        """Estimate of the tree's memory."""
        return self._size

    def start(self, name: str, attributes: dict[str, str]) -> None:
        """Begin an element; names are in expat's form."""
        if self._omitted_depth or not self._may_add(name):
            self._omitted_depth += 1
            self.is_truncated = True
            return
        self._kept_depth += 1
        self._size += ELEMENT_BYTES + len(name)
        self._builder.start(qualified_name(name), self._limit_attributes(attributes))

    def _may_add(self, name: str) -> bool:
        if self._size < MAX_TREE_BYTES:
            return True
        is_report = self._kept_depth == 1 and name.startswith(_RELAY_PREFIX)
        return is_report and self._size < MAX_TREE_BYTES + MAX_REPORT_BYTES

    def _limit_attributes(self, attributes: dict[str, str]) -> dict[str, str]:
        kept: dict[str, str] = {}
        for name, value in attributes.items():
            size = ATTRIBUTE_BYTES + len(name) + len(value)
            if self._size + size > MAX_TREE_BYTES:
                self.is_truncated = True
                break
            self._size += size
            kept[qualified_name(name)] = value
        return kept

    def end(self, name: str) -> None:
        """End the innermost open element."""
        if self._omitted_depth:
            self._omitted_depth -= 1
            return
        self._kept_depth -= 1
        self._builder.end(qualified_name(name))

    def add_text(self, text: str) -> None:
        """Add text to the innermost open element."""
        if self._omitted_depth:
            return
        if self._size + len(text) > MAX_TREE_BYTES + MAX_REPORT_BYTES:
            self.is_truncated = True
            return
        self._size += len(text)
        self._builder.data(text)

    def close(self) -> Element:
        """Return the complete tree."""
        return self._builder.close()
