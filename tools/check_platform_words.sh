#!/usr/bin/env bash
# Fails when a name from the protocol of the users' platform appears in src/, include/, apps/,
# proto/ or tests/gateway/. Only platform/ and its tests use these names, so that a protocol change
# affects one folder.
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
  echo "names of the platform's protocol are allowed only in platform/ and its tests" >&2
  exit 1
fi
echo "platform names: none outside platform/ and its tests"
