package org.radishpost.manifest;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.JsonDocument;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that conflicts between two gateways over requests and targets are reported. */
public class ManifestConflictsTest {
  private static final JsonDocument FIRST =
      JsonDocument.load(ManifestConflictsTest.class, "valid.json")
          .replaceFirst("\"/\"", "\"/read\"");
  private static final JsonDocument SECOND =
      FIRST
          .replaceFirst("Test Gateway", "Other Gateway")
          .replaceFirst("127.0.0.1:9001", "127.0.0.2:9001")
          .replaceFirst("127.0.0.1:9002", "127.0.0.2:9002")
          .replaceFirst("press.example", "other.example")
          .replaceFirst("\"/read\"", "\"/other\"");
  private static final JsonDocument THIRD = SECOND.replaceFirst("test-tenant", "other-tenant");

  /** A manifest that is checked against the first one, and the paths of its faults. */
  @DataProvider
  public Object[][] pairs() {
    return new Object[][] {
      {THIRD, List.of()},
      {
        THIRD.replaceFirst("127.0.0.2:9002", "127.0.0.1:9001"),
        List.of("services[0].targets[1].address")
      },
      {
        SECOND.replaceFirst("127.0.0.2:9002", "127.0.0.1:9001"),
        List.of("services[0].targets[1].address")
      },
      {THIRD.replaceFirst("other.example", "press.example"), List.of("routes[0]")},
      {THIRD.replaceFirst("other.example", ""), List.of("routes[0]")},
      {SECOND.replaceFirst("other.example", "press.example"), List.of()},
      {THIRD.replaceFirst("\"/other\"", "\"/read/deeper\""), List.of("routes[1]")},
      {THIRD.replaceFirst("\"/other\"", "\"/reader\""), List.of()},
      {THIRD.replaceFirst("\"/other\"", "\"/\""), List.of("routes[1]")},
      {FIRST, List.of()},
    };
  }

  @Test(dataProvider = "pairs")
  public void conflictIsReportedWithItsPath(JsonDocument second, List<String> paths)
      throws ManifestException {
    ManifestCodec codec = new ManifestCodec();
    Manifest manifest = codec.decode(second.bytes());
    assertEquals(new ManifestValidator().faults(manifest), List.of());
    List<ManifestFault> faults =
        new ManifestConflicts().faults(manifest, List.of(codec.decode(FIRST.bytes())));
    assertEquals(faults.stream().map(ManifestFault::path).toList(), paths);
  }
}
