package org.radishpost.knownred;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.testng.TestListenerAdapter;
import org.testng.TestNG;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link KnownRedListener} suppresses only the failures that are listed. */
public class KnownRedListenerTest {
  private static final String LISTED_ENTRY = entryLine("fails");

  private static String entryLine(String method) {
    return "test: "
        + KnownRedSample.class.getName()
        + "#"
        + method
        + " | command: ./test -Dseeds=1 | seen: a failure | issue: 5";
  }

  @Test
  public void listedFailureIsPrintedAndUnlistedFailureFails() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    KnownRedListener listener =
        new KnownRedListener(
            List.of("# a comment", "", LISTED_ENTRY, entryLine("passes")), new PrintStream(bytes));
    TestListenerAdapter results = new TestListenerAdapter();
    TestNG innerRun = new TestNG(false);
    innerRun.setTestClasses(new Class<?>[] {KnownRedSample.class});
    innerRun.addListener(listener);
    innerRun.addListener(results);
    innerRun.run();
    assertEquals(
        results.getFailedTests().stream().map(result -> result.getName()).toList(),
        List.of("failsUnlisted"));
    String printed = bytes.toString(UTF_8);
    assertTrue(
        printed.contains("KNOWN RED: " + KnownRedSample.class.getName() + "#fails"), printed);
    assertTrue(printed.contains("passed this time: " + KnownRedSample.class.getName() + "#passes"));
  }

  /** Returns entries that are malformed or name a test that does not exist. */
  @DataProvider
  public Object[][] invalidEntries() {
    return new Object[][] {
      {LISTED_ENTRY.replace("issue: 5", "")},
      {LISTED_ENTRY.replace(" | seen: a failure", "")},
      {LISTED_ENTRY.replace("#fails", "#noSuchTest")},
      {LISTED_ENTRY.replace("#fails", "#helper")},
      {LISTED_ENTRY.replace("org.radishpost", "org.nowhere")},
    };
  }

  @Test(dataProvider = "invalidEntries")
  public void invalidEntryIsRejected(String line) {
    assertThrows(
        IllegalArgumentException.class, () -> new KnownRedListener(List.of(line), System.out));
    assertThrows(
        IllegalArgumentException.class,
        () -> new KnownRedListener(List.of(LISTED_ENTRY, LISTED_ENTRY), System.out));
  }
}
