package org.anvilshed.core.bundle

private const val TEMPLATE = """
format = 1
version = @VERSION@
comment = "@COMMENT@"
lookup_ttl_ms = 5000
seats = 64
isolation_limit_ms = 7200000
revoked_keys = [@REVOKED@]

[[regions]]
name = "nbo"
requests_per_second = 2000.0

[[regions]]
name = "msa"
requests_per_second = 2000      # an integer stands for a number

[[zones]]
name = "nbo-a"
region = "nbo"

[[zones]]
name = "msa-a"
region = "msa"

[[links]]
from = "nbo"
to = "msa"
bits_per_second = 4000000000
usable = 0.9

[[services]]
name = "booking"
maximum_body_bytes = 10485760
shift_cap = 0.3
shift_window_ms = 10000
shift_ramp = 0.1

[[kinds]]
service = "booking"
name = "payout"
idempotent = false
worth = 20
deadline_ms = 5000
maximum_deadline_ms = 10000

[[targets]]
service = "booking"
name = "booking-nbo-a-1"
zone = "nbo-a"
address = "127.0.0.1:9101"
slots = 4
connections = 330
state = "active"
leaves_at = "2026-12-04T20:00:00Z"

[[targets]]
service = "booking"
name = "booking-msa-a-1"
zone = "msa-a"
address = "[::1]:9102"
slots = 4
connections = 330
state = "leaving"
leaves_at = 2026-12-04T20:00:00Z

[[moves]]
service = "booking"
from = "nbo"
to = "msa"
fraction = @FRACTION@

[[client_blocks]]
block = "10.1.0.0/16"
region = "nbo"

[[retired]]
vm = "nbo-a-1"
incarnation = "5f3a9c0d11223344"
"""

/** Returns the sample document of section 12 of the design page, completed so that every reference resolves. */
fun sampleDocument(
    version: Long = 12,
    fraction: Double = 0.2,
    revoked: Collection<String> = emptyList(),
    comment: String = "move evening bookings",
): String = TEMPLATE
    .replace("@VERSION@", version.toString())
    .replace("@COMMENT@", comment)
    .replace("@REVOKED@", revoked.joinToString { "\"$it\"" })
    .replace("@FRACTION@", fraction.toString())
