package org.radishpost.manifest;

import java.util.regex.Pattern;

/** Checks the text of names and addresses. */
final class NameChecks {
  private static final Pattern LEADING_ZERO = Pattern.compile("(^|.*\\.)0\\d.*");

  private NameChecks() {}

  static void check(String name, String path, FaultCollector faults) {
    boolean invalid =
        name.isBlank()
            || name.length() > ManifestBounds.MAX_NAME_CHARS
            || !name.equals(name.strip())
            || name.codePoints().anyMatch(NameChecks::isForbidden);
    faults.addIf(
        invalid,
        path,
        "specify 1 to "
            + ManifestBounds.MAX_NAME_CHARS
            + " characters without control characters, slashes or leading or trailing whitespace");
  }

  static boolean hasLeadingZero(String ip) {
    return ip.indexOf('.') >= 0 && LEADING_ZERO.matcher(ip).matches();
  }

  private static boolean isForbidden(int codePoint) {
    return codePoint == '/'
        || Character.isISOControl(codePoint)
        || Character.getType(codePoint) == Character.FORMAT
        || Character.getType(codePoint) == Character.SURROGATE;
  }
}
