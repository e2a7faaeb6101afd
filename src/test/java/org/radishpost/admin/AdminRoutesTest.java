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

/** Scopes, truthful answers and bad input of the administration API. */
public class AdminRoutesTest {
  private static final int FUZZ_ROUNDS = 2_000;

  private byte[] document;
  private Manifest manifest;
  private AdminWorld world;
  private String path;

  /** Puts one manifest in force. */
  @BeforeMethod
  public void world() throws IOException, ManifestException {
    try (InputStream in = Manifest.class.getResourceAsStream("valid.json")) {
      document = in.readAllBytes();
    }
    manifest = new ManifestCodec().decode(document);
    world = new AdminWorld(manifest);
    path = "/v1/gateways/" + manifest.gateway().value().replace(" ", "%20");
  }

  private String tenant() {
    return manifest.tenant().value();
  }

  @Test
  public void foreignGatewayAnswersLikeAMissingOne() {
    assertEquals(world.get(Set.of("read:" + tenant()), path).status(), 200);
    AdminAnswer foreign = world.get(Set.of("read:other", "publish:other"), path);
    AdminAnswer missing = world.get(Set.of("read:other"), "/v1/gateways/none");
    assertEquals(foreign.status(), 404);
    assertEquals(foreign.body(), missing.body());
    String list = AdminWorld.text(world.get(Set.of("read:other"), "/v1/gateways"));
    assertTrue(list.contains("\"gateways\":[]"), list);
  }

  /** Requests with scopes that do not allow them. */
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
  public void scopesLimitChangesAndReading(Set<String> scopes, String method) {
    String target =
        switch (method) {
          case "PUT" -> path + "?operation=a";
          case "POST" -> "/v1/service?operation=a";
          default -> "/v1/timeline";
        };
    assertEquals(world.ask(scopes, method, target, document).status(), 403);
    assertTrue(world.changes.isEmpty());
  }

  @Test
  public void answersTellAcceptedRefusedAndUnknown() {
    Set<String> scopes = Set.of("publish:" + tenant());
    String target = path + "?operation=op-1";
    assertEquals(world.ask(scopes, "PUT", target, document).status(), 200);
    world.next = new PublishResult.Refused(List.of("baseVersion: old"));
    AdminAnswer refused = world.ask(scopes, "PUT", target, document);
    assertEquals(refused.status(), 409);
    assertTrue(AdminWorld.text(refused).contains("baseVersion: old"));
    world.next = new PublishResult.Unknown("x");
    AdminAnswer unknown = world.ask(scopes, "PUT", target, document);
    assertEquals(unknown.status(), 202);
    assertTrue(AdminWorld.text(unknown).contains("\"operation\":\"op-1\""));
    assertEquals(world.operations.get(0), world.operations.get(2));
    String other =
        new String(document, UTF_8).replaceFirst("\"baseVersion\": *\\d+", "\"baseVersion\":9");
    world.ask(scopes, "PUT", target, other.getBytes(UTF_8));
    assertNotEquals(world.operations.get(3), world.operations.get(0));
  }

  @Test
  public void faultsAreNamedBeforeAnythingIsAppended() {
    Set<String> scopes = Set.of("publish:" + tenant(), "operate");
    byte[] wrong =
        new String(document, UTF_8).replaceFirst("\"slots\"", "\"slotz\"").getBytes(UTF_8);
    AdminAnswer answer = world.ask(scopes, "PUT", path + "?operation=a", wrong);
    assertEquals(answer.status(), 422);
    assertTrue(AdminWorld.text(answer).contains("slotz"), AdminWorld.text(answer));
    byte[] service = "{\"scope\":\"zone\",\"name\":\"z\",\"out\":1,\"x\":2}".getBytes(UTF_8);
    String faults = AdminWorld.text(world.ask(scopes, "POST", "/v1/service?operation=a", service));
    assertTrue(faults.contains("out:") && faults.contains("x:"), faults);
    assertEquals(world.ask(scopes, "PUT", path, document).status(), 400);
    assertTrue(world.changes.isEmpty());
  }

  @Test
  public void tokensAreFoundByDigestAndGuessingIsLimited() {
    TokenTable table =
        new TokenTable(List.of(new TokenSettings(Digest.of("secret"), List.of("read"))));
    assertTrue(table.find("Bearer secret").isPresent());
    for (String wrong : List.of("", "secret", "Bearer ", "Bearer secre", "Basic secret")) {
      assertEquals(table.find(wrong), Optional.empty(), wrong);
    }
    FailedTokens failed = new FailedTokens();
    for (int i = 0; i < FailedTokens.ALLOWANCE; i++) {
      assertFalse(failed.exhausted("a", 1_000));
      failed.failed("a", 1_000);
    }
    assertTrue(failed.exhausted("a", 1_000));
    assertFalse(failed.exhausted("b", 1_000));
    assertFalse(failed.exhausted("a", 1_000 + FailedTokens.REGROWTH_MILLIS));
  }

  @Test
  public void prometheusFormHasTypesAndEscapes() {
    world.metrics.counter("calls;outcome=a\"b\\c\nd").inc(3);
    world.metrics.counter("calls;outcome=x").inc();
    world.metrics.registerGauge("pools.queued", () -> 1.5);
    String text = PrometheusText.of(world.metrics);
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

  /** Seeds of the fuzz. */
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
      String noise = "?operation=a&%" + (char) random.nextInt(33, 127);
      String message = "seed " + seed + ", round " + i;
      AdminAnswer answer =
          world.ask(
              scopes,
              publish ? "PUT" : "POST",
              target + (random.nextInt(10) == 0 ? noise : "?operation=a"),
              body);
      assertTrue(answer.status() >= 400 && answer.status() < 500, message);
    }
    assertTrue(world.changes.isEmpty());
  }
}
