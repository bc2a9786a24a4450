#!/usr/bin/env bash
# Generate the message classes from schema/messages.thrift into the package.
set -euo pipefail
cd "$(dirname "$0")/.."
destination=${1:-tamarackthread/generated/messages}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
thrift --gen py:slots,enum -out "$scratch" schema/messages.thrift
mkdir -p "$destination"
for name in __init__ constants ttypes; do
  cp "$scratch/tamarackthread/generated/messages/$name.py" "$destination/$name.py"
done
