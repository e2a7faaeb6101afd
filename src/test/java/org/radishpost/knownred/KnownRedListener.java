package org.radishpost.knownred;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestNGMethod;
import org.testng.ITestResult;

/**
 * Prints the results of the tests listed in KNOWN-RED.txt and reports their failures as passed.
 *
 * <p>A malformed entry fails the whole test run.
 */
public final class KnownRedListener implements IInvokedMethodListener {
  private static final Path KNOWN_RED_FILE = Path.of("KNOWN-RED.txt");

  private final Map<String, KnownRedEntry> entriesByTest;
  private final PrintStream out;

  /** Reads KNOWN-RED.txt at the root of the repository, if it exists. */
  public KnownRedListener() {
    this(readLines(), System.out);
  }

  KnownRedListener(List<String> lines, PrintStream out) {
    this.entriesByTest =
        KnownRedEntry.parse(lines).stream()
            .collect(Collectors.toMap(KnownRedEntry::test, Function.identity()));
    this.out = out;
  }

  @Override
  public void afterInvocation(IInvokedMethod method, ITestResult result) {
    ITestNGMethod test = method.getTestMethod();
    KnownRedEntry entry =
        entriesByTest.get(test.getRealClass().getName() + "#" + test.getMethodName());
    if (entry == null || !method.isTestMethod()) {
      return;
    }
    if (result.getStatus() != ITestResult.FAILURE) {
      out.println("KNOWN RED, but passed this time: " + entry.test() + " (" + entry.issue() + ")");
      return;
    }
    out.println(
        "KNOWN RED: "
            + entry.test()
            + " ("
            + entry.issue()
            + "): "
            + result.getThrowable().getMessage());
    result.setStatus(ITestResult.SUCCESS);
    result.setThrowable(null);
  }

  private static List<String> readLines() {
    try {
      return Files.exists(KNOWN_RED_FILE) ? Files.readAllLines(KNOWN_RED_FILE) : List.of();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read KNOWN-RED.txt", e);
    }
  }
}
