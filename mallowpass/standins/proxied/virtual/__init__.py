"""Hosts, their callers, a row store and groups of replicas in one virtual time.

Nothing here waits or does input and output: events are delivered and effects carried
out in the order of their times, so that a run repeats exactly by its seed. Tests break
promises here, measurements play loads.
"""
