"""The XMPP front (RFC 6120): streams in place of lines, the same core behind them."""
