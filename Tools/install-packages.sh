#!/usr/bin/env bash
# Tools/install-packages.sh: installs the Debian packages of Tools/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q '^install ok installed$' || missing+=("$package")
done < Tools/packages.txt

if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo="sudo"
  $sudo apt-get update -q
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
