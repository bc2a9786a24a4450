"""Define the platform's headers, paths and status codes."""

from __future__ import annotations

READY = '/tamarackthread/readiness'
# ``{target}`` identifies one start of a target.
HEARTBEAT = '/tamarackthread/replicas/{target}/heartbeat'
# Field of a heartbeat: when this start of the target began.
BORN = 'born'
DEREGISTER = '/tamarackthread/replicas/{target}/deregister'
REPLACE = '/tamarackthread/configuration/replace'
READ = '/tamarackthread/configuration/read'
EVACUATE = '/tamarackthread/evacuation/{zone}/start'
RESTORE = '/tamarackthread/evacuation/{zone}/finish'

# Identifies one attempt; a retry has another.
CALL_ID = 'Attempt-Id'
# Milliseconds until the deadline.
DEADLINE = 'Deadline-Ms'
LAST_EVENT_ID = 'Last-Event-Id'
# The parts of a prompt, in order, as ID:TOKENS separated by commas.
PROMPT = 'Prompt-Prefix'
AUTHORIZATION = 'Authorization'
BEARER = 'Bearer '

# Request headers to targets: the expected start of a target, and the caller's
# organisation.
EXPECTED_TARGET = 'Expect-Replica'
# Set by callers: the version of the weights that must run the call.
EXPECTED_VERSION = 'Expect-Version'
ORGANISATION = 'Tenant'

# Response headers of targets.  Without the signature an answer is not from the
# target; ``NOT_EXECUTED`` marks a call that did not run.
SIGNATURE = 'Response-Signature'
NOT_EXECUTED = 'Not-Executed'
LOAD = 'Replica-Load'
TARGET = 'Replica-Id'
AT_SERVER = 'At-Server'
# On any answer of a draining target.
LEAVING = 'Server-Leaving'
# On a refusal: seconds in which this entry must not send calls.
RETRY_AFTER = 'Retry-After'
REFUSAL_STATUS = 503
# On any answer of an overloaded target: its limit of calls a second, summed
# over all entries.
RATE_LIMIT = 'Server-Limit'

# The call expected another target or other weights.
MISDIRECTED = 421
# The rank has seen a higher fencing number than the order's.
FENCED = 412

# Paths of ranks: status, calls per expert, placement of experts, and orders.
REPORT = '/tamarackthread/report'
COUNTS = '/tamarackthread/picked'
PLACEMENT = '/tamarackthread/picked?lists=1'
ORDER = '/tamarackthread/order'
