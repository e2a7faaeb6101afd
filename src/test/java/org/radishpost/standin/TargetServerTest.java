package org.radishpost.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.radishpost.http.LoadReportHeader;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.pool.LoadReport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Tests the behavior and the faults of the target stand-in over HTTP. */
public class TargetServerTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final Duration SHORT_SERVICE_TIME = Duration.ofMillis(1);
  private static final Duration TEST_TIMEOUT = Duration.ofMinutes(1);
  private static final Duration ENDLESS_SERVICE_TIME = Duration.ofHours(1);

  private TargetServer targets;
  private Duration requestTimeout = TEST_TIMEOUT;
  private HttpClient client;

  /** Creates a server without targets. */
  @BeforeMethod
  public void createServer() {
    requestTimeout = TEST_TIMEOUT;
    targets = new TargetServer(Schedulers.parallel());
    client = HttpClient.newConnection().disableRetry(true);
  }

  /** Stops all targets. */
  @AfterMethod(alwaysRun = true)
  public void stopServer() {
    targets.stop();
  }

  @Test
  public void echoDescribesTheRequestAndRunsAreCountedByKey() throws Exception {
    Endpoint target = targets.add(ANY_PORT, TargetOptions.warm(2, 10, SHORT_SERVICE_TIME, 1));
    Response response = send(target, HttpMethod.POST, "/a?b=c", "body", "Idempotency-Key", "k-1");

    assertEquals(response.status(), 200);
    assertTrue(response.body().contains("\"path\":\"/a?b=c\""), response.body());
    assertTrue(response.body().contains(Digest.of("body").hex()), response.body());
    assertEquals(targets.runCount("k-1"), 1);
    assertEquals(send(target, HttpMethod.GET, "/runs/k-1", "").body(), "{\"runs\":1}");
    assertEquals(send(target, HttpMethod.GET, "/bytes/100000", "").body().length(), 100_000);
    assertEquals(reportIn(response).warmPercent(), 100);
  }

  @Test
  public void requestsOnOneConnectionCountAsOneConnection() throws Exception {
    Endpoint target = targets.add(ANY_PORT, TargetOptions.warm(2, 1, SHORT_SERVICE_TIME, 1));
    client = HttpClient.create(ConnectionProvider.create("one", 1)).disableRetry(true);
    for (int i = 0; i < 5; i++) {
      assertEquals(send(target, HttpMethod.GET, "/", "").status(), 200);
    }
    assertEquals(targets.stats(target).maxConnections(), 1);
    assertEquals(targets.stats(target).refusedConnections(), 0);
  }

  @Test
  public void callsBeyondSlotsAndQueueAreShedAsNotRun() throws Exception {
    Endpoint target = targets.add(ANY_PORT, TargetOptions.warm(1, 20, ENDLESS_SERVICE_TIME, 1));
    final List<Disposable> held = holdCalls(target, 5);
    await(() -> targets.stats(target).waiting() == 4);

    Response response = send(target, HttpMethod.GET, "/", "");

    assertEquals(response.status(), 503);
    assertEquals(response.headers().get("Radishpost-Outcome"), "not-run");
    assertEquals(targets.stats(target).maxRunning(), 1);
    held.forEach(Disposable::dispose);
  }

  @Test
  public void cancelledCallFreesItsSlot() throws Exception {
    Endpoint target = targets.add(ANY_PORT, TargetOptions.warm(1, 10, ENDLESS_SERVICE_TIME, 1));
    final List<Disposable> held = holdCalls(target, 1);
    await(() -> targets.stats(target).running() == 1);

    held.getFirst().dispose();

    await(() -> targets.stats(target).running() == 0);
    assertEquals(targets.stats(target).cancels(), 1);
  }

  @Test
  public void deadlineShedsWaitingCallsAndTimesOutRunningCalls() throws Exception {
    Endpoint target = targets.add(ANY_PORT, TargetOptions.warm(1, 10, ENDLESS_SERVICE_TIME, 1));
    String deadline = "Radishpost-Deadline-Ms";
    assertEquals(send(target, HttpMethod.GET, "/", "", deadline, "50").status(), 504);

    final List<Disposable> held = holdCalls(target, 1);
    await(() -> targets.stats(target).running() == 1);
    assertEquals(send(target, HttpMethod.GET, "/", "", deadline, "50").status(), 503);
    held.forEach(Disposable::dispose);
  }

  @Test
  public void coldTargetCrashesUnderFullLoadAndRestartsCold() throws Exception {
    Endpoint target =
        targets.add(ANY_PORT, TargetOptions.warm(2, 20, ENDLESS_SERVICE_TIME, 1).cold());
    final LoadReport before = probeLoad(target);
    holdCalls(target, 2);
    await(() -> targets.stats(target).running() == 2);

    assertEquals(send(target, HttpMethod.GET, "/", "").status(), 0);

    assertEquals(targets.stats(target).coldCrashes(), 1);
    await(() -> send(target, HttpMethod.GET, "/stats", "").status() == 200);
    assertEquals(targets.stats(target).running(), 0);
    assertNotEquals(probeLoad(target).incarnation(), before.incarnation());
    assertTrue(probeLoad(target).warmPercent() < 50);
  }

  @Test
  public void warmUpDependsOnTimeAndCalls() throws Exception {
    TargetOptions options =
        new TargetOptions(
            1, 4, 10, SHORT_SERVICE_TIME, 0, false, 2, 4, Duration.ZERO, 4, SHORT_SERVICE_TIME, 1);
    Endpoint target = targets.add(ANY_PORT, options);
    assertEquals(probeLoad(target).warmPercent(), 50);
    send(target, HttpMethod.GET, "/", "");
    send(target, HttpMethod.GET, "/", "");
    assertEquals(probeLoad(target).warmPercent(), 75);
  }

  @Test
  public void faultsCanBeChangedAtRunTime() throws Exception {
    Endpoint target = targets.add(ANY_PORT, TargetOptions.warm(2, 10, SHORT_SERVICE_TIME, 1));

    setControl(target, "{\"failFast\":true}");
    assertEquals(send(target, HttpMethod.GET, "/", "").status(), 500);

    setControl(target, "{\"cutAnswers\":1}");
    assertEquals(send(target, HttpMethod.GET, "/", "").status(), 0);
    assertEquals(send(target, HttpMethod.GET, "/", "").status(), 200);

    setControl(target, "{\"coldAgain\":true,\"draining\":true}");
    assertTrue(probeLoad(target).draining());
    assertTrue(probeLoad(target).warmPercent() < 50);
    send(target, HttpMethod.GET, "/", "");
    assertEquals(targets.stats(target).runsWhileDraining(), 1);

    String misleadingReport = "running=0, slots=9, warm=100, incarnation=x, draining=0";
    setControl(target, "{\"misleadingReport\":\"" + misleadingReport + "\"}");
    assertEquals(probeLoad(target).slots(), 9);

    setControl(target, "{\"silent\":true}");
    requestTimeout = Duration.ofMillis(300);
    assertEquals(send(target, HttpMethod.GET, "/", "").status(), 0);
    assertEquals(targets.stats(target).crashes(), 0);
    requestTimeout = TEST_TIMEOUT;

    setControl(target, "{\"crashMarker\":\"poison\"}");
    assertEquals(send(target, HttpMethod.GET, "/", "", "X-Any", "poison").status(), 0);
    assertEquals(targets.stats(target).crashes(), 1);
  }

  @Test
  public void connectionsBeyondTheLimitAreClosed() throws Exception {
    Endpoint target = targets.add(ANY_PORT, TargetOptions.warm(2, 1, ENDLESS_SERVICE_TIME, 1));
    final List<Disposable> held = holdCalls(target, 1);
    await(() -> targets.stats(target).running() == 1);

    assertEquals(send(target, HttpMethod.GET, "/stats", "").status(), 0);
    assertEquals(targets.stats(target).maxConnections(), 1);
    held.forEach(Disposable::dispose);
  }

  @Test
  public void malformedLoadReportIsRejected() {
    assertFalse(LoadReportHeader.parse("running=1, slots=2").isPresent());
    assertFalse(
        LoadReportHeader.parse("running=1, slots=2, warm=101, incarnation=a, draining=0")
            .isPresent());
    LoadReport report = new LoadReport(1, 2, 100, "abc", false);
    assertEquals(LoadReportHeader.parse(LoadReportHeader.format(report)).get(), report);
  }

  private LoadReport probeLoad(Endpoint target) {
    return LoadReportHeader.parse(send(target, HttpMethod.GET, "/load", "").body()).orElseThrow();
  }

  private static LoadReport reportIn(Response response) {
    return LoadReportHeader.parse(response.headers().get(LoadReportHeader.NAME)).orElseThrow();
  }

  private void setControl(Endpoint target, String json) throws Exception {
    new ObjectMapper().readTree(json);
    assertEquals(send(target, HttpMethod.PUT, "/control", json).status(), 200);
  }

  private List<Disposable> holdCalls(Endpoint target, int calls) {
    return Flux.range(0, calls)
        .map(
            i ->
                client
                    .get()
                    .uri("http://" + target + "/held")
                    .response()
                    .subscribe(x -> {}, x -> {}))
        .collectList()
        .block();
  }

  /**
   * Sends a request. Status 0 means that the connection failed, the response was truncated or the
   * request timed out.
   */
  private Response send(
      Endpoint target, HttpMethod method, String path, String body, String... header) {
    return client
        .headers(
            headers -> {
              if (header.length > 0) {
                headers.set(header[0], header[1]);
              }
            })
        .request(method)
        .uri("http://" + target + path)
        .send(ByteBufFlux.fromString(Mono.just(body)))
        .responseSingle(
            (response, content) ->
                content
                    .asString()
                    .defaultIfEmpty("")
                    .map(
                        text ->
                            new Response(
                                response.status().code(), text, response.responseHeaders())))
        .timeout(requestTimeout)
        .onErrorReturn(new Response(0, "", null))
        .block();
  }

  private static void await(BooleanSupplier condition) {
    Flux.interval(Duration.ofMillis(5))
        .onBackpressureDrop()
        .publishOn(Schedulers.boundedElastic())
        .filter(tick -> condition.getAsBoolean())
        .next()
        .block(TEST_TIMEOUT);
  }

  private record Response(int status, String body, HttpHeaders headers) {}
}
