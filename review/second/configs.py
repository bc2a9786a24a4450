"""Configurations like the example of PROTOCOL.md."""

from __future__ import annotations

HOST = 'ficu95.example'
ORDERS = '/puxa403/'
LOOKUPS = '/gano118/'
DRAFTS = '/lohu930/'
PLAIN_SERVICE = 'wuno96b'
MODEL_SERVICE = 'huvo11a'
KEY = 'n2ctnfzs989anu6wsjnb'
OTHER_KEY = 'q7dkwplt310bbe5rvhzc'
TENANT = 'hule930'
OTHER_TENANT = 'mare417'


def route(
    name: str, prefix: str, kind: str, **changes: object
) -> dict[str, object]:
    """Return a route to the plain service."""
    row: dict[str, object] = {
        'name': name,
        'host': HOST,
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 2000,
        'target-latency-ms': 300,
        'priority': 2,
        'service': PLAIN_SERVICE,
        'attempts': 1,
        'allow-anonymous': False,
    }
    return {**row, **changes}


def plain(version: int = 7) -> dict[str, object]:
    """Return routes for orders and lookups, and two tenants."""
    return {
        'version': version,
        'routes': [
            route('r-orders', ORDERS, 'non_idempotent'),
            route('r-lookups', LOOKUPS, 'idempotent', attempts=2),
        ],
        'services': [
            {
                'name': PLAIN_SERVICE,
                'health-check-path': '/health',
                'connection-limit': 120,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [
            {'name': TENANT, 'api-keys': [KEY], 'priority': 1},
            {'name': OTHER_TENANT, 'api-keys': [OTHER_KEY], 'priority': 1},
        ],
    }


def with_model(version: int = 7) -> dict[str, object]:
    """Return the plain configuration, with a route to model replicas."""
    config = plain(version)
    drafts = {
        **route('r-drafts', DRAFTS, 'streaming', attempts=2),
        'service': MODEL_SERVICE,
        'timeout-ms': 8000,
        'target-latency-ms': 402,
        'session-affinity': True,
        'stream-resumption': True,
        'gap-target-ms': 120,
    }
    model = {
        'name': MODEL_SERVICE,
        'health-check-path': '/health',
        'connection-limit': 368,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': 2,
            'kv-cache-tokens': 186000,
            'stride': 5,
            'models': [{'name': 'm'}],
            'step_ms': 5.85,
            'per_seq_ms': 0.71,
            'report_lag_ms': 200.0,
            'usual': {'prompt': 835, 'answer': 139},
        },
    }
    return {
        **config,
        'routes': [*config['routes'], drafts],  # type: ignore[misc]
        'services': [*config['services'], model],  # type: ignore[misc]
    }


def with_experts(version: int = 7) -> dict[str, object]:
    """Return the configuration with the experts of the model's ranks."""
    config = with_model(version)
    plain_service, model = config['services']  # type: ignore[misc]
    engine = {
        **model['engine'],
        'slots': 6,
        'link-mbps': 1000.0,
        'sets': 2,
        'experts': 8,
        'placements': 4,
        'spare': 2,
        'expert-mb': 10.0,
        'expert-share': 0.85,
        'form_ms': 600.0,
    }
    return {**config, 'services': [plain_service, {**model, 'engine': engine}]}
