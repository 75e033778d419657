#!/usr/bin/env bash
# Builds what the scripts of the cases start. Case 1 is a day for the bench and needs nothing.
set -euo pipefail
