# Selects a JDK of version 25 or newer from JAVA_HOME, PATH or /usr/lib/jvm, in this order.
# The other scripts source this file.
jdk_version() { "$1/bin/javac" -version 2>/dev/null | sed -n 's/^javac \([0-9]*\).*/\1/p'; }
select_jdk() {
  local path_home=""
  if command -v javac >/dev/null 2>&1; then
    path_home=$(dirname "$(dirname "$(readlink -f "$(command -v javac)")")")
  fi
  local home version
  for home in "${JAVA_HOME:-}" "$path_home" /usr/lib/jvm/*; do
    [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
    version=$(jdk_version "$home")
    if [ "${version:-0}" -ge 25 ]; then
      export JAVA_HOME="$home" PATH="$home/bin:$PATH"
      return 0
    fi
  done
  echo "No JDK 25 or newer was found. Install Temurin 25 under /usr/lib/jvm, or set JAVA_HOME to a JDK 25." >&2
  return 1
}
select_jdk || exit 3
command -v mvn >/dev/null 2>&1 || { echo "Maven was not found. Install Maven 3.8 or newer." >&2; exit 3; }
