"""Rate limits of customers over the whole fleet.

A limit is divided into parts, as in escrow locking. Each part has one keeper among the
hosts, which grants operations from a token bucket; what is granted holds for a short
time. So the sum keeps to the limit whoever is cut off, frozen or
started again, and no host has to know what others run.

| module | what it decides |
|---|---|
| `buckets` | how many operations of a customer one part grants |
| `parts` | what the store's rows say of them |
| `keepers` | which host keeps a part, and whether it may still grant from it |
| `granting` | what a keeper answers |
| `allowances` | which of this host's operations may begin, and whom it asks |
"""
