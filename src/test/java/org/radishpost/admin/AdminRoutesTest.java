package org.radishpost.admin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.config.PublishResult;
import org.radishpost.errors.ManifestException;
import org.radishpost.lib.Digest;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.settings.NodeSettings.TokenSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Scopes, results of changes and invalid input of the administration API. */
public class AdminRoutesTest {
  private static final int FUZZ_ROUNDS = 2_000;

  private byte[] document;
  private Manifest manifest;
  private FakeAdminBackend backend;
  private String path;

  /** Creates a backend with one manifest. */
  @BeforeMethod
  public void setUp() throws IOException, ManifestException {
    try (InputStream in = Manifest.class.getResourceAsStream("valid.json")) {
      document = in.readAllBytes();
    }
    manifest = new ManifestCodec().decode(document);
    backend = new FakeAdminBackend(manifest);
    path = "/v1/gateways/" + manifest.gateway().value().replace(" ", "%20");
  }

  private String tenant() {
    return manifest.tenant().value();
  }

  @Test
  public void gatewayOfAnotherTenantLooksMissing() {
    assertEquals(backend.get(Set.of("read:" + tenant()), path).status(), 200);
    AdminResponse otherTenants = backend.get(Set.of("read:other", "publish:other"), path);
    AdminResponse missing = backend.get(Set.of("read:other"), "/v1/gateways/none");
    assertEquals(otherTenants.status(), 404);
    assertEquals(otherTenants.body(), missing.body());
    String list = FakeAdminBackend.bodyText(backend.get(Set.of("read:other"), "/v1/gateways"));
    assertTrue(list.contains("\"gateways\":[]"), list);
  }

  /** Scopes of a token and the method of a request that they do not allow. */
  @DataProvider
  public Object[][] forbidden() {
    return new Object[][] {
      {Set.of("publish:other"), "PUT"},
      {Set.of("read", "operate"), "PUT"},
      {Set.of("read", "publish:other"), "POST"},
      {Set.of("read:other"), "GET"},
    };
  }

  @Test(dataProvider = "forbidden")
  public void insufficientScopesAreForbidden(Set<String> scopes, String method) {
    String target =
        switch (method) {
          case "PUT" -> path + "?operation=a";
          case "POST" -> "/v1/service?operation=a";
          default -> "/v1/timeline";
        };
    assertEquals(backend.send(scopes, method, target, document).status(), 403);
    assertTrue(backend.changes.isEmpty());
  }

  @Test
  public void responsesDistinguishAcceptedRefusedAndUnknown() {
    Set<String> scopes = Set.of("publish:" + tenant());
    String target = path + "?operation=op-1";
    assertEquals(backend.send(scopes, "PUT", target, document).status(), 200);
    backend.nextResult = new PublishResult.Refused(List.of("baseVersion: old"));
    AdminResponse refused = backend.send(scopes, "PUT", target, document);
    assertEquals(refused.status(), 409);
    assertTrue(FakeAdminBackend.bodyText(refused).contains("baseVersion: old"));
    backend.nextResult = new PublishResult.Unknown("x");
    AdminResponse unknown = backend.send(scopes, "PUT", target, document);
    assertEquals(unknown.status(), 202);
    assertTrue(FakeAdminBackend.bodyText(unknown).contains("\"operation\":\"op-1\""));
    assertEquals(backend.operationIds.get(0), backend.operationIds.get(2));
    String other =
        new String(document, UTF_8).replaceFirst("\"baseVersion\": *\\d+", "\"baseVersion\":9");
    backend.send(scopes, "PUT", target, other.getBytes(UTF_8));
    assertNotEquals(backend.operationIds.get(3), backend.operationIds.get(0));
  }

  @Test
  public void invalidRequestsAreRefusedBeforeAppending() {
    Set<String> scopes = Set.of("publish:" + tenant(), "operate");
    byte[] misspelled =
        new String(document, UTF_8).replaceFirst("\"slots\"", "\"slotz\"").getBytes(UTF_8);
    AdminResponse response = backend.send(scopes, "PUT", path + "?operation=a", misspelled);
    assertEquals(response.status(), 422);
    assertTrue(
        FakeAdminBackend.bodyText(response).contains("slotz"), FakeAdminBackend.bodyText(response));
    byte[] service = "{\"scope\":\"zone\",\"name\":\"z\",\"out\":1,\"x\":2}".getBytes(UTF_8);
    String faults =
        FakeAdminBackend.bodyText(backend.send(scopes, "POST", "/v1/service?operation=a", service));
    assertTrue(faults.contains("out:") && faults.contains("x:"), faults);
    assertEquals(backend.send(scopes, "PUT", path, document).status(), 400);
    assertTrue(backend.changes.isEmpty());
  }

  @Test
  public void tokensAreMatchedByDigestAndGuessingIsLimited() {
    TokenTable table =
        new TokenTable(List.of(new TokenSettings(Digest.of("secret"), List.of("read"))));
    assertTrue(table.find("Bearer secret").isPresent());
    for (String wrong : List.of("", "secret", "Bearer ", "Bearer secre", "Basic secret")) {
      assertEquals(table.find(wrong), Optional.empty(), wrong);
    }
    FailedTokenLimiter limiter = new FailedTokenLimiter();
    for (int i = 0; i < FailedTokenLimiter.MAX_FAILURES; i++) {
      assertFalse(limiter.isBlocked("a", 1_000));
      limiter.recordFailure("a", 1_000);
    }
    assertTrue(limiter.isBlocked("a", 1_000));
    assertFalse(limiter.isBlocked("b", 1_000));
    assertFalse(limiter.isBlocked("a", 1_000 + FailedTokenLimiter.MILLIS_PER_FORGOTTEN_FAILURE));
  }

  @Test
  public void prometheusTextHasTypesAndEscapedLabels() {
    backend.metrics.counter("calls;outcome=a\"b\\c\nd").inc(3);
    backend.metrics.counter("calls;outcome=x").inc();
    backend.metrics.registerGauge("pools.queued", () -> 1.5);
    String text = PrometheusText.of(backend.metrics);
    assertEquals(
        text,
        """
        # TYPE radishpost_calls_total counter
        radishpost_calls_total{outcome="a\\"b\\\\c\\nd"} 3
        radishpost_calls_total{outcome="x"} 1
        # TYPE radishpost_pools_queued gauge
        radishpost_pools_queued 1.5
        """);
  }

  /** Seeds of the mutated requests. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  @Test(dataProvider = "seeds")
  public void mutatedRequestsChangeNothing(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Set<String> scopes = Set.of("operate", "publish:" + tenant());
    byte[] service = "{\"scope\":\"zone\",\"name\":\"z\",\"out\":true}".getBytes(UTF_8);
    for (int i = 0; i < FUZZ_ROUNDS; i++) {
      boolean publish = random.nextBoolean();
      byte[] body = (publish ? document : service).clone();
      body = java.util.Arrays.copyOf(body, random.nextInt(body.length));
      for (int n = random.nextInt(4); n > 0 && body.length > 0; n--) {
        body[random.nextInt(body.length)] = (byte) random.nextInt(256);
      }
      String target = publish ? path : "/v1/service";
      String malformedQuery = "?operation=a&%" + (char) random.nextInt(33, 127);
      String message = "seed " + seed + ", round " + i;
      AdminResponse response =
          backend.send(
              scopes,
              publish ? "PUT" : "POST",
              target + (random.nextInt(10) == 0 ? malformedQuery : "?operation=a"),
              body);
      assertTrue(response.status() >= 400 && response.status() < 500, message);
    }
    assertTrue(backend.changes.isEmpty());
  }
}
