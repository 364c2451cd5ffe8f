"""Run on the users' platform: translate its settings, wire protocol and calls.

Names of the platform's protocols end here. Everything that decides is in
`mallowpass.core.proxy`; this package turns bytes into its events, and its effects
into bytes.
"""
