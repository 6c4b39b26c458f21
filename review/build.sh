#!/usr/bin/env bash
# The stand-ins are plain scripts that need no build; checks that each of them can be parsed.
set -eu
cd "$(dirname "$0")"
for script in lib/*.mjs [1-5]/*.mjs; do
    [ -e "$script" ] || continue
    node --check "$script"
done
