#!/usr/bin/env bash
# Fails when a name of the users' platform appears outside platform/ and its tests: everything else
# uses the project's own names, so that a change of the wire stays in one folder.
set -euo pipefail
cd "$(dirname "$0")/.."
words=(Deadline-Ms Server-Signature Expected-Instance Instance-Id Server-Load Not-Executed Warmup-Ms
  Shard-Key kv-key kv-range kv-watch kv-txn kv-lease kv-keep api/ready api/grant api/release
  op/config op/evacuate servers/ resourceKind trafficSplit allowedRegions targetLatencyMs maxAttempts
  healthPath maxConnections warmupS warmupPerS warmupLeftMs heartbeatMs drainMs contactMs
  configApplyMs retryBudgetRatio budgetExtraRetries budgetWindowS coldOver coldSlack holdMaxMs
  internalPorts MIMOSAVALVE_SETTINGS createRev hasMore precondition)
pattern=$(IFS='|'; echo "${words[*]}")
if git grep -nE "$pattern" -- src include apps proto tests/gateway; then
  echo "names of the platform belong in platform/" >&2
  exit 1
fi
echo "platform words: none outside platform/"
