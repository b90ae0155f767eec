"""The XMPP frontend (RFC 6120): XML streams in place of lines, the same core behind them."""
