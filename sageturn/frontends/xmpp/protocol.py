"""Names of mechanisms, conditions and types of XMPP (RFC 6120) that the relay sends or compares."""

from __future__ import annotations

from enum import StrEnum

PLAIN_MECHANISM = "PLAIN"


class StreamCondition(StrEnum):
    """Defined conditions of stream errors (RFC 6120, 4.9.3)."""

    BAD_FORMAT = "bad-format"
    BAD_NAMESPACE_PREFIX = "bad-namespace-prefix"
    CONNECTION_TIMEOUT = "connection-timeout"
    HOST_UNKNOWN = "host-unknown"
    INTERNAL_SERVER_ERROR = "internal-server-error"
    INVALID_NAMESPACE = "invalid-namespace"
    NOT_AUTHORIZED = "not-authorized"
    NOT_WELL_FORMED = "not-well-formed"
    POLICY_VIOLATION = "policy-violation"
    REMOTE_CONNECTION_FAILED = "remote-connection-failed"
    RESET = "reset"
    RESOURCE_CONSTRAINT = "resource-constraint"
    RESTRICTED_XML = "restricted-xml"
    SEE_OTHER_HOST = "see-other-host"
    SYSTEM_SHUTDOWN = "system-shutdown"
    UNDEFINED_CONDITION = "undefined-condition"
    UNSUPPORTED_ENCODING = "unsupported-encoding"
    UNSUPPORTED_VERSION = "unsupported-version"


class SaslCondition(StrEnum):
    """Defined conditions of SASL failures (RFC 6120, 6.5)."""

    ABORTED = "aborted"
    INCORRECT_ENCODING = "incorrect-encoding"
    INVALID_AUTHZID = "invalid-authzid"
    INVALID_MECHANISM = "invalid-mechanism"
    MALFORMED_REQUEST = "malformed-request"
    NOT_AUTHORIZED = "not-authorized"


class IqType(StrEnum):
    """Types of an info/query stanza (RFC 6120, 8.2.3)."""

    GET = "get"
    SET = "set"
    RESULT = "result"
    ERROR = "error"
