package org.radishpost.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.radishpost.config.VersionedManifest;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ZoneName;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.placement.EntryVersion;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.Target;
import org.radishpost.settings.EntrySettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The platform's documents are decoded, and invalid ones are rejected. */
public class PlatformDocumentsTest {
  private static final Map<ZoneName, RegionName> ZONES =
      Map.of(new ZoneName("k-a"), new RegionName("k"));
  private static final String ENTRY =
      """
      {"service":"s","address":"10.1.0.1:80","zone":"k-a","version":"v1","concurrency":2,\
      "state":"ready","warmup-left-s":1.5,"sequence":4,"born":17}\
      """;
  private static final String STATE =
      """
      {"version":"r12","routes":{
      "short":{"host":"H.example","path-prefix":"/a/","kind":"idempotent","timeout-s":1,
      "target-latency-s":0.25,"priority":2,"service":"s","max-attempts":3},
      "long":{"host":"h.example","path-prefix":"/a/b/","kind":"non_idempotent",
      "traffic-split":[{"service":"s","weight":90},{"service":"t","weight":10}],
      "allowed-regions":["k"]}},
      "services":{"s":{"health-path":"/h","max-conns":9,"warmup-s":3.0,"warmup-per-s":5.0},
      "t":{"health-path":"/h"}},"limits":{"max-body-bytes":1000},"unknown":1}\
      """;

  private static final String SETTINGS =
      """
      {"node-name":"e-1","zone":"k-a","region":"k","zones":{"k-a":"k"},
      "listen":{"front":"10.0.0.1:81","readiness":"10.0.0.1:80"},
      "bounds":["grace-s=6","retry-budget-ratio=0.2","budget-slack=60","closed=false"],
      "provider":{"address":"10.0.0.9:8642"},"heartbeat-interval-s":1.5,"new":[]}
      """;

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  public void decodesTargetEntry() throws Exception {
    Target target = TargetEntryDecoder.decode("i-1", bytes(ENTRY), ZONES);
    assertEquals(target.id().value(), "i-1");
    assertEquals(target.address(), new Endpoint("10.1.0.1", 80));
    assertEquals(target.place().region(), new RegionName("k"));
    assertEquals(target.coldRemaining(), Duration.ofMillis(1500));
    assertEquals(target.version(), new EntryVersion(17, 4));
    assertFalse(target.draining());
  }

  /** Returns target entries that are invalid. */
  @DataProvider
  public Object[] invalidEntries() {
    return new Object[] {
      "",
      "[]",
      "{\"a\":",
      ENTRY.replace("\"service\":\"s\",", ""),
      ENTRY.replace("10.1.0.1:80", "nowhere"),
      ENTRY.replace("\"ready\"", "\"gone\""),
      ENTRY.replace("k-a", "x-a"),
      ENTRY.replace("10.1.0.1:80", "10.1.0.1:65536"),
      ENTRY.replace("10.1.0.1:80", "10.1.0.1:0"),
      ENTRY.replace("10.1.0.1:80", "10.1.0.1:99999999999999999999"),
      ENTRY.replace("\"concurrency\":2", "\"concurrency\":1e400"),
      ENTRY.replace("\"concurrency\":2", "\"concurrency\":99999999999"),
      ENTRY.replace("\"concurrency\":2", "\"concurrency\":" + "9".repeat(100_000)),
      ENTRY.replace("1.5", "1e400"),
      ENTRY.replace("1.5", "1e300"),
      ENTRY.replace("17", "1e400"),
      ENTRY.replace("\"sequence\":4", "\"sequence\":1e400"),
      ENTRY.replace("\"sequence\":4", "\"sequence\":\"4\""),
      ENTRY.replace("17", "[".repeat(100_000) + "]".repeat(100_000)),
      "[".repeat(100_000),
      "{\"a\":".repeat(100_000),
      ENTRY.replace("\"concurrency\":2", "\"concurrency\":\"2\""),
      ENTRY.replace("\"service\":\"s\"", "\"service\":7"),
    };
  }

  @Test(dataProvider = "invalidEntries")
  public void rejectsInvalidEntry(String entry) {
    expectThrows(
        PlatformDocumentException.class, () -> TargetEntryDecoder.decode("i", bytes(entry), ZONES));
  }

  @Test
  public void decodesDesiredState() throws Exception {
    VersionedManifest state = DesiredStateDecoder.decode(bytes(STATE));
    assertEquals(state.version(), 12);
    RouteSpec longPrefix = state.manifest().routes().get(0);
    assertEquals(longPrefix.name(), "long");
    assertEquals(longPrefix.kind(), RequestKind.COMMIT);
    assertFalse(longPrefix.idempotent());
    assertEquals(longPrefix.homeRegions(), Set.of(new RegionName("k")));
    assertEquals(longPrefix.policy().split().size(), 2);
    RouteSpec shortPrefix = state.manifest().routes().get(1);
    assertEquals(shortPrefix.host(), "h.example");
    assertTrue(shortPrefix.idempotent());
    assertEquals(shortPrefix.deadline(), Duration.ofSeconds(1));
    assertEquals(shortPrefix.policy().maxAttempts(), 3);
    assertEquals(shortPrefix.policy().targetLatency(), Optional.of(Duration.ofMillis(250)));
    assertEquals(shortPrefix.maxBodyBytes(), 1000);
    assertEquals(state.manifest().services().get(0).probe().path(), "/h");
  }

  @Test
  public void unknownKindIsNotIdempotent() throws Exception {
    VersionedManifest state =
        DesiredStateDecoder.decode(
            bytes(STATE.replace("idempotent\",\"timeout", "new\",\"timeout")));
    assertFalse(state.manifest().routes().get(1).idempotent());
  }

  /** Returns desired states that are invalid. */
  @DataProvider
  public Object[] invalidStates() {
    return new Object[] {
      "{",
      "{\"version\":\"r1\"}",
      STATE.replace("r12", "newest"),
      STATE.replace("\"service\":\"s\",\"max", "\"max"),
      STATE.replace("\"weight\":90", "\"weight\":\"much\""),
    };
  }

  @Test(dataProvider = "invalidStates")
  public void rejectsInvalidState(String state) {
    expectThrows(PlatformDocumentException.class, () -> DesiredStateDecoder.decode(bytes(state)));
  }

  @Test
  public void decodesSettings() throws Exception {
    EntrySettings settings = SettingsFile.decode(bytes(SETTINGS));
    assertEquals(settings.edge(), new Endpoint("10.0.0.1", 81));
    assertEquals(settings.store(), Optional.of(new Endpoint("10.0.0.9", 8642)));
    assertEquals(settings.bounds().gracePeriod(), Duration.ofSeconds(6));
    assertEquals(settings.bounds().retryRatio(), 0.2);
    expectThrows(PlatformDocumentException.class, () -> SettingsFile.decode(bytes("{}")));
  }

  @Test
  public void parsesLoadReport() {
    assertEquals(
        PlatformTargetProtocol.parseLoad("3,0,8"), Optional.of(new LoadSample(3, 0, 8, 100)));
    assertEquals(
        PlatformTargetProtocol.parseLoad("3, 1,8,400"), Optional.of(new LoadSample(3, 1, 8, 400)));
    assertEquals(PlatformTargetProtocol.parseLoad("3,0"), Optional.empty());
    assertEquals(PlatformTargetProtocol.parseLoad("3,x,8"), Optional.empty());
    assertEquals(PlatformTargetProtocol.parseLoad("-1,0,8"), Optional.empty());
  }
}
