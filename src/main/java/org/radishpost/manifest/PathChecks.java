package org.radishpost.manifest;

import java.util.regex.Pattern;

/** Checks that a path is in normal form. */
final class PathChecks {
  private static final Pattern SEGMENT = Pattern.compile("[A-Za-z0-9._~!$&'()*+,;=:@-]+");
  private static final String REMEDY =
      "specify a path that begins with a slash and has no empty, '.' or '..' segment, no trailing"
          + " slash and no percent sign, query or whitespace";

  private PathChecks() {}

  static void check(String path, String jsonPath, FaultCollector faults) {
    if (path.length() > ManifestBounds.MAX_TEXT_CHARS) {
      faults.add(jsonPath, "use at most " + ManifestBounds.MAX_TEXT_CHARS + " characters");
      return;
    }
    faults.addIf(!isNormal(path), jsonPath, REMEDY);
  }

  private static boolean isNormal(String path) {
    if (path.equals("/")) {
      return true;
    }
    if (!path.startsWith("/")) {
      return false;
    }
    String[] segments = path.substring(1).split("/", -1);
    if (segments.length > ManifestBounds.MAX_PATH_SEGMENTS) {
      return false;
    }
    for (String segment : segments) {
      if (segment.equals(".") || segment.equals("..") || !SEGMENT.matcher(segment).matches()) {
        return false;
      }
    }
    return true;
  }
}
