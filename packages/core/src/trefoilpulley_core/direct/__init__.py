"""Decisions of the direct mode, in which a session is a connection.

Each connection of a caller to a host is one session, and the host serves each
request of the session itself: the host chooses the member and queues the
statement for a connection. The hosts vote on the loss of a primary, and one
host claims the change of the primary. In the pooled mode, by contrast, a
token carries the session from request to request, the pipeline of an entry
host sends each statement to the pooler that holds the member's connections,
and a coordinator changes primaries.
"""
