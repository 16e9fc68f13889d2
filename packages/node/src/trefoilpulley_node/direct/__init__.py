"""Host of the direct mode, in which a session is a caller's connection.

Every host serves the whole requests of its callers itself, although a
statement may run on a connection to the member that another host holds. In
the pooled mode, by contrast, several roles take part in a request or prepare
for it: the pipeline of an entry host (``pipeline``), the pooler of the member
(``pooler``) and the coordinator (``coordination``). The composition roots are
``direct_composition`` for the direct mode and ``composition`` in the parent
package for the pooled mode.
"""
