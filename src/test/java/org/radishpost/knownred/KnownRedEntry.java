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
 * @param test the fully qualified class name and the method name, separated by {@code #}
 * @param command the command, including the seed, that reproduces the failure
 * @param seen the observed failure
 * @param issue the issue that tracks the fault
 */
record KnownRedEntry(String test, String command, String seen, String issue) {
  private static final Pattern ENTRY_PATTERN =
      Pattern.compile(
          "test: (?<test>[\\w.$]+#\\w+) \\| command: (?<command>[^|]+) \\| seen: (?<seen>[^|]+)"
              + " \\| issue: (?<issue>[^|]+)");

  /**
   * Parses the lines of the file. Blank lines and lines that start with {@code #} are ignored.
   *
   * @throws IllegalArgumentException if an entry is malformed, names no existing test or repeats a
   *     test
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
        throw new IllegalArgumentException(
            "KNOWN-RED.txt has more than one entry for a test: " + line);
      }
      entries.add(entry);
    }
    return entries;
  }

  private static KnownRedEntry parse(String line) {
    Matcher matcher = ENTRY_PATTERN.matcher(line);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "KNOWN-RED.txt has an entry that does not match the format in CONTRIBUTING.md: " + line);
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
        throw new IllegalArgumentException(
            "KNOWN-RED.txt names a test method that does not exist: " + test);
      }
    } catch (ClassNotFoundException e) {
      throw new IllegalArgumentException(
          "KNOWN-RED.txt names a test class that does not exist: " + test, e);
    }
  }
}
