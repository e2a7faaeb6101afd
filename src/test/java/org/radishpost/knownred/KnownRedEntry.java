package org.radishpost.knownred;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One entry of KNOWN-RED.txt.
 *
 * @param test the class and the method, with a hash between them
 * @param command the command and the seed that show the failure
 * @param seen what was seen
 * @param issue where the fault is tracked
 */
record KnownRedEntry(String test, String command, String seen, String issue) {
  private static final Pattern ENTRY_PATTERN =
      Pattern.compile(
          "test: (?<test>[\\w.$]+#\\w+) \\| command: (?<command>[^|]+) \\| seen: (?<seen>[^|]+)"
              + " \\| issue: (?<issue>[^|]+)");

  /**
   * Reads the lines of the file; blank ones and those that begin with a hash are left out.
   *
   * @throws IllegalArgumentException if a line has another form or names no test
   */
  static List<KnownRedEntry> parse(List<String> lines) {
    List<KnownRedEntry> entries = new ArrayList<>();
    Set<String> tests = new HashSet<>();
    for (String line : lines) {
      if (line.isBlank() || line.startsWith("#")) {
        continue;
      }
      KnownRedEntry entry = parse(line);
      if (!tests.add(entry.test())) {
        throw new IllegalArgumentException("KNOWN-RED.txt lists a test twice: " + line);
      }
      entries.add(entry);
    }
    return entries;
  }

  private static KnownRedEntry parse(String line) {
    Matcher matcher = ENTRY_PATTERN.matcher(line);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "KNOWN-RED.txt has an entry that is not of the form in CONTRIBUTING.md: " + line);
    }
    KnownRedEntry entry =
        new KnownRedEntry(
            matcher.group("test"),
            matcher.group("command"),
            matcher.group("seen"),
            matcher.group("issue"));
    entry.checkTestExists();
    return entry;
  }

  private void checkTestExists() {
    String[] parts = test.split("#");
    try {
      boolean found =
          java.util.Arrays.stream(Class.forName(parts[0]).getMethods())
              .filter(method -> method.getName().equals(parts[1]))
              .anyMatch(method -> method.isAnnotationPresent(org.testng.annotations.Test.class));
      if (!found) {
        throw new IllegalArgumentException("KNOWN-RED.txt names no test method: " + test);
      }
    } catch (ClassNotFoundException e) {
      throw new IllegalArgumentException("KNOWN-RED.txt names no test class: " + test, e);
    }
  }
}
