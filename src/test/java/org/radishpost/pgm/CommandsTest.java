package org.radishpost.pgm;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.node.RuntimeClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs the commands against VMs on loopback and checks their output and exit codes. */
public class CommandsTest {
  private static final long SEED = 13;
  private static final Map<String, String> ENVIRONMENT =
      Map.of("RADISHPOST_TOKEN", DemoSystem.DEMO_TOKEN, "OTHER", "wrong");

  private DemoSystem demo;
  private String admin;

  /** Starts the demo system. */
  @BeforeClass
  public void start() throws RadishpostException {
    Environment.replaceVariables(ENVIRONMENT);
    demo = new DemoSystem(new RuntimeClock(), new java.util.Random(SEED));
    demo.start(0);
    admin = demo.adminAddresses().getFirst().toString();
  }

  /** Stops the demo system. */
  @AfterClass(alwaysRun = true)
  public void stop() {
    demo.stop().block();
    Environment.replaceVariables(System.getenv());
  }

  @Test
  public void shownManifestCanBePublishedAgain() throws Exception {
    CommandResult shown = run("show", "--admin", admin, "demo");
    assertEquals(shown.exitCode(), ExitCode.OK, shown.err());
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode manifest = (ObjectNode) mapper.readTree(shown.out()).path("manifest");
    manifest.put("baseVersion", mapper.readTree(shown.out()).path("version").asLong());
    Path file = tempFile(manifest.toString());
    assertEquals(run("check", "--manifest", file.toString()).exitCode(), ExitCode.OK);
    CommandResult published =
        run("publish", "--admin", admin, "--operation", "c1", file.toString());
    assertEquals(published.exitCode(), ExitCode.OK, published.err());
    CommandResult repeated = run("publish", "--admin", admin, "--operation", "c1", file.toString());
    assertEquals(repeated.out(), published.out());
    CommandResult stale = run("publish", "--admin", admin, "--operation", "c2", file.toString());
    assertEquals(stale.exitCode(), ExitCode.REFUSED);
    assertTrue(stale.err().contains("baseVersion"), stale.err());
  }

  @Test
  public void statusListsVmThatIsOutOfService() throws Exception {
    assertEquals(run("vm", "out", "vm-3", "--admin", admin).exitCode(), ExitCode.OK);
    CommandResult status = run("status", "--admin", admin);
    assertTrue(status.out().contains("\"name\" : \"vm-3\""), status.out());
    assertEquals(run("vm", "in", "vm-3", "--admin", admin).exitCode(), ExitCode.OK);
    CommandResult stale = run("vm", "out", "vm-3", "--admin", admin, "--base-version", "0");
    assertEquals(stale.exitCode(), ExitCode.REFUSED, stale.err());
  }

  @Test
  public void timelineContainsEventsOfAllVms() throws Exception {
    List<String> arguments = new ArrayList<>(List.of("timeline", "--json"));
    demo.adminAddresses().stream().map(Endpoint::toString).forEach(arguments::add);
    CommandResult result = run(arguments.toArray(new String[0]));
    assertEquals(result.exitCode(), ExitCode.OK, result.err());
    for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
      assertTrue(result.out().contains("\"vm\":\"" + vm + "\",\"sequence\":1,"), result.out());
    }
  }

  /** Exit codes, parts of the error messages, and the command lines that fail with them. */
  @DataProvider
  public Object[][] failures() throws IOException {
    return new Object[][] {
      {ExitCode.USAGE, "zone", new String[] {"zone", "sideways", "kozep-1"}},
      {ExitCode.USAGE, "coldStart", new String[] {"check", "--manifest", invalidDocument()}},
      {ExitCode.USAGE, "vm", new String[] {"check", "--settings", invalidDocument()}},
      {ExitCode.USAGE, "help", new String[] {"nonsense"}},
      {ExitCode.USAGE, "model", new String[] {"model", "nothing"}},
      {ExitCode.FAILED, "--admin", new String[] {"status", "--admin", "127.0.0.1:1"}},
      {ExitCode.FAILED, "NO_SUCH", new String[] {"status", "--token-env", "NO_SUCH"}},
      {ExitCode.FAILED, "401", new String[] {"status", "--admin", admin, "--token-env", "OTHER"}},
    };
  }

  @Test(dataProvider = "failures")
  public void failureHasExitCodeAndRemedy(ExitCode code, String expectedText, String[] arguments) {
    CommandResult result = run(arguments);
    assertEquals(result.exitCode(), code, result.err());
    assertTrue(result.err().contains(expectedText), result.err());
  }

  @Test
  public void everyCommandHasHelp() {
    for (String name :
        List.of("serve", "check", "publish", "show", "zone", "status", "timeline", "model")) {
      assertTrue(run("help", name).out().contains("radishpost " + name), name);
    }
    assertTrue(run("help", "standin", "targets").out().contains("--manifest"));
  }

  private static String invalidDocument() throws IOException {
    return tempFile("{\"services\":[{\"name\":\"a\"}],\"region\":7}").toString();
  }

  private static Path tempFile(String text) throws IOException {
    Path file = Files.createTempFile("radishpost", ".json");
    file.toFile().deleteOnExit();
    return Files.writeString(file, text);
  }

  private static synchronized CommandResult run(String... arguments) {
    PrintStream originalOut = System.out;
    PrintStream originalErr = System.err;
    ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
    ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(outBytes, true, UTF_8));
      System.setErr(new PrintStream(errBytes, true, UTF_8));
      int number = Main.run(arguments);
      return new CommandResult(
          exitCode(number), outBytes.toString(UTF_8), errBytes.toString(UTF_8));
    } finally {
      System.setOut(originalOut);
      System.setErr(originalErr);
    }
  }

  private static ExitCode exitCode(int number) {
    for (ExitCode code : ExitCode.values()) {
      if (code.number() == number) {
        return code;
      }
    }
    throw new AssertionError("no exit code has the number " + number);
  }

  private record CommandResult(ExitCode exitCode, String out, String err) {}
}
