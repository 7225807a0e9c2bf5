#!/usr/bin/env bash
# Checks all C++ sources with clang-format and clang-tidy. With --fix, reformats them instead.
# Successful clang-tidy results are cached by the contents of the source file, all headers and
# .clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp' |
  while read -r file; do if [ -e "$file" ]; then echo "$file"; fi; done)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
cache="${MV_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/mimosavalve-lint}"
mkdir -p "$cache"
headers_sum=$(cat .clang-tidy $(printf '%s\n' "${sources[@]}" | grep '\.hpp$') | sha256sum |
  cut -c1-16)
lint_one() {
  local sum
  sum=$(sha256sum <"$1" | cut -c1-32)
  local mark="$cache/$headers_sum-$sum"
  [ -e "$mark" ] && return 0
  local out
  if out=$(clang-tidy --quiet -p build "$1" 2>/dev/null); then
    touch "$mark"
  else
    echo "$out"
    return 1
  fi
}
export -f lint_one
export cache headers_sum
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v '^cmake/' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "format and lint: ${#sources[@]} files are clean"
