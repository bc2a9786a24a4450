"""Define Prometheus metrics; no labels for requests, callers or targets."""

from __future__ import annotations

import functools

import prometheus_client

from tamarackthread.shared import faults

# Bounds in seconds, from answers of plain services to the longest streams.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
_registry = prometheus_client.CollectorRegistry()

CALLS = prometheus_client.Counter(
    'tamarackthread_calls',
    'Calls by service and end.',
    ('service', 'end'),
    registry=_registry,
)
CALL_SECONDS = prometheus_client.Histogram(
    'tamarackthread_call_seconds',
    'Time from a call to the end of its answer.',
    ('service',),
    buckets=BUCKETS,
    registry=_registry,
)
FIRST_SECONDS = prometheus_client.Histogram(
    'tamarackthread_first_byte_seconds',
    'Time from a call to the first byte of its answer.',
    ('service',),
    buckets=BUCKETS,
    registry=_registry,
)
TRIES_FAILED = prometheus_client.Counter(
    'tamarackthread_tries_failed',
    'Tries at targets without a whole answer, by error code.',
    ('service', 'code'),
    registry=_registry,
)
REPEATS = prometheus_client.Counter(
    'tamarackthread_repeats',
    'Tries after the first of a call, by why the one before failed.',
    ('service', 'reason'),
    registry=_registry,
)
RETRY_LEVEL = prometheus_client.Gauge(
    'tamarackthread_retry_budget',
    'Retries that this entry may make now.',
    ('service',),
    registry=_registry,
)
ANSWERS_ENDED = prometheus_client.Counter(
    'tamarackthread_answers_ended',
    'Answers of targets by how they were framed and how their bodies ended.',
    ('service', 'framing', 'ending'),
    registry=_registry,
)
FOREIGN_ANSWERS = prometheus_client.Counter(
    'tamarackthread_foreign_answers',
    'Connections to targets that carried what belongs to no call.',
    registry=_registry,
)
CALLS_SUSPECTED = prometheus_client.Counter(
    'tamarackthread_calls_suspected',
    'Calls whose target has crashed, and calls refused as its cause.',
    ('verdict',),
    registry=_registry,
)
SUSPECTS = prometheus_client.Gauge(
    'tamarackthread_suspects',
    'Calls and parts of prompts that are refused here since they crash targets.',
    registry=_registry,
)
OPEN_CALLS = prometheus_client.Gauge(
    'tamarackthread_open_calls',
    'Calls in this entry now.',
    registry=_registry,
)
VERSION = prometheus_client.Gauge(
    'tamarackthread_configuration_version',
    'Version of the configuration in force here.',
    registry=_registry,
)
TERM = prometheus_client.Gauge(
    'tamarackthread_log_term',
    'Newest term of the replicated log that was seen here.',
    registry=_registry,
)
LEADS = prometheus_client.Gauge(
    'tamarackthread_log_leads',
    'Whether this control host leads.',
    registry=_registry,
)
VOTERS = prometheus_client.Gauge(
    'tamarackthread_log_voters',
    'Voters of the replicated log.',
    registry=_registry,
)
TARGETS = prometheus_client.Gauge(
    'tamarackthread_targets',
    'Targets known here, by service and state.',
    ('service', 'state'),
    registry=_registry,
)
TARGETS_ASKING = prometheus_client.Gauge(
    'tamarackthread_targets_asking',
    'Targets whose answers ask this entry for rest, a limit or no more calls.',
    ('service', 'asked'),
    registry=_registry,
)
ZONES_EVACUATED = prometheus_client.Gauge(
    'tamarackthread_zones_evacuated',
    'Availability zones whose targets get no work from here.',
    registry=_registry,
)
ZONE_REVISION = prometheus_client.Gauge(
    'tamarackthread_zone_revision',
    'Revision of the request that is obeyed here, by availability zone.',
    ('zone',),
    registry=_registry,
)
CONNECTIONS_CLOSED = prometheus_client.Counter(
    'tamarackthread_connections_closed',
    'Connections of clients that this process has closed, by reason.',
    ('reason',),
    registry=_registry,
)
CONNECTIONS = prometheus_client.Gauge(
    'tamarackthread_connections',
    'Open connections of clients, by whom they are served for.',
    ('server',),
    registry=_registry,
)
CLIENT_BYTES = prometheus_client.Gauge(
    'tamarackthread_client_bytes',
    'Bytes that these connections make this process hold.',
    ('server',),
    registry=_registry,
)
ANNOUNCEMENTS_REFUSED = prometheus_client.Counter(
    'tamarackthread_announcements_refused',
    'Words to this control host that no target writes.',
    registry=_registry,
)
MAP_SWITCHES = prometheus_client.Counter(
    'tamarackthread_map_switches',
    'Expert maps that a group was switched to.',
    registry=_registry,
)
GROUP_SKEW = prometheus_client.Gauge(
    'tamarackthread_group_skew_ratio',
    'Time of the busiest rank over that of even ranks, at the last plan.',
    ('group',),
    registry=_registry,
)
STEP_SECONDS = prometheus_client.Gauge(
    'tamarackthread_group_step_seconds',
    'Time of a step, from the last two looks.',
    ('group',),
    registry=_registry,
)


def _count_faults() -> prometheus_client.Gauge:
    gauge = prometheus_client.Gauge(
        'tamarackthread_faults',
        'Faults that this process went on after, by its part.',
        ('part',),
        registry=_registry,
    )
    for part in faults.Part:
        gauge.labels(part).set_function(functools.partial(faults.count, part))
    return gauge


FAULTS = _count_faults()


def render() -> bytes:
    """Return all metrics in the text format."""
    return prometheus_client.generate_latest(_registry)
