"""Rate limits of customers over all hosts.

A limit is divided into parts, as in escrow locking. Each part has one host as its
keeper. The keeper grants operations to all hosts from a token bucket per customer, and
a grant expires after a short time. So all hosts together keep to the limit, also while
some are cut off, frozen or restarting, and no host needs to know how many operations
the others run. A keeper also leases shares of its buckets to hosts, which begin
operations from them without a request, and takes back grants that were not used.

| module | responsibility |
|---|---|
| `buckets` | how many operations of a customer one part may grant |
| `parts` | the store's rows of the parts |
| `keepers` | which host keeps a part, and whether it may still grant from it |
| `granting` | how a keeper answers requests for grants and leases |
| `leasing` | how a part is divided among its keeper and hosts with leases |
| `leases` | which leases this host requests, renews and uses |
| `allowances` | which operations may begin at this host, and which keepers it asks |
"""
