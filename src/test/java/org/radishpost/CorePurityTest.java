package org.radishpost;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests that the core packages import no socket, file, timer or Netty types. */
public class CorePurityTest {
  private static final Path SOURCES = Path.of("src/main/java/org/radishpost");
  private static final List<String> CORE_PACKAGES =
      List.of(
          "lib",
          "errors",
          "manifest",
          "config",
          "membership",
          "pool",
          "placement",
          "routing",
          "admission",
          "claims",
          "suspects",
          "events",
          "feed",
          "slots");
  private static final Pattern FORBIDDEN_IMPORT =
      Pattern.compile(
          "import (static )?(java\\.net\\.|java\\.nio\\.(file|channels)|java\\.io\\.(File|Socket)"
              + "|java\\.util\\.Timer|java\\.util\\.concurrent\\.(Scheduled|Executor)"
              + "|io\\.netty|reactor\\.netty|reactor\\.core\\.scheduler"
              + "|org\\.radishpost\\.(http|link|admin|settings|node|standin|bench|pgm)\\.).*");

  @Test
  public void coreImportsNoInputOutputTypes() throws IOException {
    List<String> violations = new ArrayList<>();
    for (String name : CORE_PACKAGES) {
      try (Stream<Path> files = Files.list(SOURCES.resolve(name))) {
        for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
          Files.readAllLines(file).stream()
              .filter(line -> FORBIDDEN_IMPORT.matcher(line).matches())
              .forEach(line -> violations.add(file + ": " + line));
        }
      }
    }
    assertEquals(violations, List.of());
  }
}
