"""Stand-ins for what a proxying host meets: a row store, and groups of replicas.

They do no input or output: time comes from a timer service, so the same code runs in
virtual time under tests and over sockets by hand.
"""
