#!/usr/bin/env bash
# Runs every role of the Division's deployment as a process of its own; see run-deployment.sh.
PORT_BASE=${PORT_BASE:-21000} exec "$(dirname "${BASH_SOURCE[0]}")/run-deployment.sh" division "$@"
