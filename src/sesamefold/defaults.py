"""Constants with their units."""

# Largest difference between the clocks of two hosts, seconds.
CLOCK_SKEW = 0.5

# Bounds of a caller's request.
MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
MAX_PROMPT_TOKENS = 32_768
IDLE_CONNECTION_SECONDS = 75.0
SLOW_READER_SECONDS = 30.0
MAX_BUFFERED_EVENTS = 256
# Time that a request may take when its caller states no deadline, seconds.
REQUEST_SECONDS = 120.0

# Tokens in one block of cached context.
BLOCK_TOKENS = 1000

# Heartbeats between the controls of a data centre, seconds. At 20 members
# this interval takes 4.5% of a core and 7 KB/s of each control; both grow
# with the number of members.
HEARTBEAT_INTERVAL = 1.0
HEARTBEAT_TIMEOUT = 4.0
HOST_LIST_INTERVAL = 2.0

# Calls of a control daemon whose caller states no deadline, seconds.
CONTROL_TIMEOUT = 2.0

# Polling of backend servers by their owner, seconds.
LOAD_INTERVAL = 0.5
STATE_TIMEOUT = 3.0
COLD_SECONDS = 10.0
# Cache events are hints, so they are polled less often than the load.
EVENTS_INTERVAL = 1.0
# How long a reported failure of a backend server counts.
FAILURE_SECONDS = 5.0

# Lease of the control that orders the engines of a data centre, seconds.
ORDERER_LEASE_SECONDS = 10.0

# Admission to cold backend servers, seconds.
PERMIT_SECONDS = 5.0
PERMIT_RENEWAL_INTERVAL = 1.5

# Journal of non-idempotent calls.
JOURNAL_SHARDS = 8
# A bucket holds the keys issued in one period, seconds; divides an hour. Each
# write sends a whole bucket: 50 calls/s were measured to write 123 KB/s with
# 5 s, 246 KB/s with 10 s and 1,056 KB/s with a minute. The 1.49 writes for
# each call of 10 s on average grow to 1.67 from 10 s to 5 s.
JOURNAL_PERIOD_SECONDS = 5
JOURNAL_WRITE_INTERVAL = 0.04
JOURNAL_BODY_BYTES = 4096
JOURNAL_KEY_SECONDS = 24 * 3600.0
JOURNAL_FUTURE_SECONDS = 60.0
JOURNAL_BUCKET_SECONDS = 25 * 3600.0

# Configuration and audit trail.
MAX_VALUE_BYTES = 1024 * 1024
MAX_TEXT_BYTES = 8 * 1024 * 1024
AUDIT_HEAD_ENTRIES = 64
AUDIT_PAGES = 128
AUDIT_ENTRY_BYTES = 4096
RELAY_SILENCE_SECONDS = 5.0
# Length of one watch of the configuration head.
WATCH_SECONDS = 5.0
# How long a control that failed to reach the key-value service leaves the
# watch to others.
WATCH_PENALTY_SECONDS = 30.0

# Retry of the key-value service after an outage, seconds.
PLATFORM_BACKOFF = 0.5
PLATFORM_BACKOFF_LIMIT = 5.0
PLATFORM_TIMEOUT = 2.0

# Block directory. Of the 15 MB that control has for state, the journal cache
# takes 3.1 MB, the configuration with the chunks of 19,000 customers 2.3 MB
# and 400 entry hosts with 292 backend servers 0.4 MB, which leaves 9.2 MB.
# An entry with an engine and a store takes 337 bytes in a table in use, so
# 20,000 take 6.4 MB; from 21,846 entries on the table doubles, and 25,000
# would take 9.3 MB (tools/measure_journal.py).
DIRECTORY_ENTRIES = 20_000
DIRECTORY_LOOKUP_SECONDS = 0.02
DIRECTORY_RESYNC_INTERVAL = 10.0

# Requests and parts of prompts that were in flight at crashes: time that a
# crash counts against them, and by which it is renewed at least, seconds; most
# of them that a process keeps, and most crashes of each.
QUARANTINE_SECONDS = 600.0
QUARANTINE_RENEWAL_SECONDS = 60.0
QUARANTINE_REQUESTS = 2000
QUARANTINE_CRASHES = 10

# Share of successful requests that may be retried.
RETRY_BUDGET = 0.1
