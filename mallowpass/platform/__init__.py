"""Run a host on the users' platform: its settings, wire protocol and HTTP calls.

This package turns received bytes into events of `mallowpass.core.proxy`, and that
package's effects into bytes. All decisions are made in `mallowpass.core.proxy`, which
uses no names of the platform's protocols.
"""
