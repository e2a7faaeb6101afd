package org.radishpost.manifest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.JsonDocument;
import org.radishpost.lib.Place;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that each fault of a manifest is reported with its path, and that a valid manifest
 * round-trips through JSON.
 */
public class ManifestTest {
  private static final JsonDocument VALID = JsonDocument.load(ManifestTest.class, "valid.json");
  private final ManifestCodec codec = new ManifestCodec();
  private final ManifestValidator validator = new ManifestValidator();

  @Test
  public void validManifestRoundTripsThroughJson() throws ManifestException {
    Manifest manifest = decode(VALID);
    assertEquals(validator.faults(manifest), List.of());
    assertEquals(codec.decode(codec.encode(manifest)), manifest);
  }

  @Test
  public void manyTargetsFitInOneGateway() throws ManifestException {
    Manifest small = decode(VALID);
    ServiceSpec service = small.services().getFirst();
    List<TargetSpec> targets = IntStream.range(0, 12_000).mapToObj(ManifestTest::target).toList();
    ServiceSpec large =
        new ServiceSpec(service.name(), targets, service.coldStart(), service.probe(), 30);
    Manifest manifest =
        new Manifest(small.gateway(), small.tenant(), 0, List.of(large), small.routes());
    assertEquals(validator.faults(manifest), List.of());
    assertEquals(codec.decode(codec.encode(manifest)), manifest);
  }

  private static TargetSpec target(int number) {
    String ip = "10.0." + number / 250 + "." + (1 + number % 250);
    Place place = number % 2 == 0 ? Place.of("kozep", "kozep-1") : Place.of("kelet", "kelet-1");
    return new TargetSpec(new Endpoint(ip, 8080), place, 2, 240);
  }

  /** Text of the valid manifest, its replacement, and a part of the expected message. */
  @DataProvider
  public Object[][] unreadable() {
    return new Object[][] {
      {"\"tenant\": \"test-tenant\"", "\"tenant\": \"\"", "tenant: "},
      {"\"baseVersion\": 0", "\"baseVersion\": 1e3", "baseVersion: "},
      {"\"baseVersion\": 0", "\"baseVersion\": 0, \"retries\": 3", "retries: is unknown"},
      {"\"baseVersion\": 0", "\"baseVersion\": 0, \"baseVersion\": 0", "Duplicate field"},
      {"\"baseVersion\": 0", "\"baseVersion\": " + "9".repeat(21), "/baseVersion"},
      {"\"baseVersion\": 0", "\"x\": " + "[".repeat(9) + "]".repeat(9), "depth"},
      {"\"gateway\": \"Test", "\"gateway\": \"" + "x".repeat(513), "/gateway"},
      {"\"name\": \"archive\",", "", "services[0].name: "},
      {"127.0.0.1:9002", "localhost:9002", "services[0].targets[1].address: "},
      {"\"slots\": 2,", "\"slots\": \"2\",", "services[0].targets[0].slots: "},
      {"\"slots\": 2,", "\"slots\": 4294967298,", "services[0].targets[0].slots: "},
      {"\"rampMillis\": 30000", "\"ramp\": \"30s\"", "services[0].coldStart.rampMillis: "},
      {"[\"POST\"]", "[\"POST\", \"POST\"]", "routes[0].methods[1]: is a duplicate"},
      {"\"COMMIT\"", "\"SIGN\"", "routes[0].kind: "},
      {"\"idempotent\": false", "\"idempotent\": \"no\"", "routes[0].idempotent: "},
      {
        "\"maxBodyBytes\": 0\n    }\n  ]\n}",
        "\"maxBodyBytes\": 0}]} {}",
        "has content after its end"
      },
    };
  }

  @Test(dataProvider = "unreadable")
  public void unreadableManifestIsRejected(
      String text, String replacement, String expectedMessage) {
    ManifestException e =
        expectThrows(ManifestException.class, () -> decode(VALID.replaceFirst(text, replacement)));
    assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
  }

  /** Text of the valid manifest, its replacement, and the path of the only fault. */
  @DataProvider
  public Object[][] faulty() {
    return new Object[][] {
      {"\"Test Gateway\"", "\"Test/Gateway\"", "gateway"},
      {"\"baseVersion\": 0", "\"baseVersion\": -1", "baseVersion"},
      {"127.0.0.1:9002", "127.0.0.1:9001", "services[0].targets[1].address"},
      {"127.0.0.1:9002", "127.0.0.1:0", "services[0].targets[1].address"},
      {"127.0.0.1:9002", "127.0.0.01:9001", "services[0].targets[1].address"},
      {"\"zone\": \"kelet-1\"", "\"zone\": \"kozep-1\"", "services[0].targets[1].zone"},
      {"\"slots\": 2,", "\"slots\": 241,", "services[0].targets[0].connections"},
      {"\"calls\": 2", "\"calls\": 1", "services[0].coldStart.calls"},
      {"\"callsPerSecond\": 20", "\"callsPerSecond\": 1", "services[0].coldStart.callsPerSecond"},
      {"\"rampMillis\": 30000", "\"rampMillis\": 0", "services[0].coldStart.rampMillis"},
      {"\"costMillis\": 6", "\"costMillis\": 101", "services[0].probe.intervalMillis"},
      {"\"/load\"", "\"/a/../load\"", "services[0].probe.path"},
      {"\"ejectPercent\": 30", "\"ejectPercent\": 101", "services[0].ejectPercent"},
      {"\"name\": \"read\"", "\"name\": \"dispatch\"", "routes[1].name"},
      {"press.example", "Press.example:80", "routes[0].host"},
      {"[\"POST\"]", "[\"BREW\"]", "routes[0].methods"},
      {"/issues/dispatch", "/issues//dispatch", "routes[0].pathPrefix"},
      {"/issues/dispatch", "/issues/", "routes[0].pathPrefix"},
      {"/issues/dispatch", "/issues%2f", "routes[0].pathPrefix"},
      {
        "\"service\": \"archive\", \"kind\": \"READ\"",
        "\"service\": \"x\", \"kind\": \"READ\"",
        "routes[1].service"
      },
      {"\"weight\": 20", "\"weight\": 1001", "routes[0].weight"},
      {"\"deadlineMillis\": 800", "\"deadlineMillis\": 3600001", "routes[1].deadlineMillis"},
      {"\"maxBodyBytes\": 65536", "\"maxBodyBytes\": -1", "routes[0].maxBodyBytes"},
      {"[\"kozep\"]", "[\"nyugat\"]", "routes[0].homeRegions"},
      {"\"KEY\"", "\"NONE\"", "routes[0].duplicateGuard"},
      {
        "\"press.example\", \"methods\": [\"POST\"], \"pathPrefix\": \"/issues/dispatch\"",
        "\"\", \"methods\": [\"GET\", \"HEAD\"], \"pathPrefix\": \"/\"",
        "routes[1]"
      },
    };
  }

  @Test(dataProvider = "faulty")
  public void faultIsReportedWithItsPath(String text, String replacement, String path)
      throws ManifestException {
    List<ManifestFault> faults = validator.faults(decode(VALID.replaceFirst(text, replacement)));
    assertEquals(faults.stream().map(ManifestFault::path).toList(), List.of(path));
  }

  @Test
  public void pageDescribesEachMember() throws IOException {
    String page = Files.readString(Path.of("docs/MANIFEST.md"));
    Matcher member = Pattern.compile("\"(\\w+)\":").matcher(VALID.text());
    while (member.find()) {
      String row = "\\| `([a-zA-Z]+\\.)?" + member.group(1) + "` \\|";
      assertTrue(Pattern.compile(row).matcher(page).find(), member.group(1));
    }
  }

  @Test
  public void oversizedManifestIsRejectedWithoutParsing() {
    byte[] large = new byte[ManifestBounds.MAX_DOCUMENT_BYTES + 1];
    assertThrows(ManifestException.class, () -> codec.decode(large));
  }

  private Manifest decode(JsonDocument json) throws ManifestException {
    return codec.decode(json.bytes());
  }
}
