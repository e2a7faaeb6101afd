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

/** Each trait and fault of the target stand-in, seen from outside. */
public class TargetServerTest {
  private static final Endpoint ANY = new Endpoint("127.0.0.1", 0);
  private static final Duration QUICK = Duration.ofMillis(1);
  private static final Duration HANG = Duration.ofMinutes(1);
  private static final Duration ENDLESS = Duration.ofHours(1);

  private TargetServer targets;
  private Duration limit = HANG;
  private HttpClient client;

  /** Starts without targets. */
  @BeforeMethod
  public void start() {
    limit = HANG;
    targets = new TargetServer(Schedulers.parallel());
    client = HttpClient.newConnection().disableRetry(true);
  }

  /** Stops all targets. */
  @AfterMethod(alwaysRun = true)
  public void stop() {
    targets.stop();
  }

  @Test
  public void echoTellsWhatArrivedAndCountsRunsByKey() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(2, 10, QUICK, 1));
    Answer answer = call(target, HttpMethod.POST, "/a?b=c", "body", "Idempotency-Key", "k-1");

    assertEquals(answer.status(), 200);
    assertTrue(answer.body().contains("\"path\":\"/a?b=c\""), answer.body());
    assertTrue(answer.body().contains(Digest.of("body").hex()), answer.body());
    assertEquals(targets.runs("k-1"), 1);
    assertEquals(call(target, HttpMethod.GET, "/runs/k-1", "").body(), "{\"runs\":1}");
    assertEquals(call(target, HttpMethod.GET, "/bytes/100000", "").body().length(), 100_000);
    assertEquals(report(answer).warmPercent(), 100);
  }

  @Test
  public void requestsOfOneConnectionCountAsOneConnection() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(2, 1, QUICK, 1));
    client = HttpClient.create(ConnectionProvider.create("one", 1)).disableRetry(true);
    for (int i = 0; i < 5; i++) {
      assertEquals(call(target, HttpMethod.GET, "/", "").status(), 200);
    }
    assertEquals(targets.stats(target).maxConnections(), 1);
    assertEquals(targets.stats(target).refusedConnections(), 0);
  }

  @Test
  public void moreThanSlotsAndQueueIsShedAsNotRun() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(1, 20, ENDLESS, 1));
    final List<Disposable> held = hold(target, 5);
    await(() -> targets.stats(target).waiting() == 4);

    Answer answer = call(target, HttpMethod.GET, "/", "");

    assertEquals(answer.status(), 503);
    assertEquals(answer.headers().get("Radishpost-Outcome"), "not-run");
    assertEquals(targets.stats(target).maxRunning(), 1);
    held.forEach(Disposable::dispose);
  }

  @Test
  public void callerThatGoesAwayFreesItsSlot() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(1, 10, ENDLESS, 1));
    final List<Disposable> held = hold(target, 1);
    await(() -> targets.stats(target).running() == 1);

    held.getFirst().dispose();

    await(() -> targets.stats(target).running() == 0);
    assertEquals(targets.stats(target).cancels(), 1);
  }

  @Test
  public void deadlineEndsWaitingAsNotRunAndRunningAsLate() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(1, 10, ENDLESS, 1));
    String deadline = "Radishpost-Deadline-Ms";
    assertEquals(call(target, HttpMethod.GET, "/", "", deadline, "50").status(), 504);

    final List<Disposable> held = hold(target, 1);
    await(() -> targets.stats(target).running() == 1);
    assertEquals(call(target, HttpMethod.GET, "/", "", deadline, "50").status(), 503);
    held.forEach(Disposable::dispose);
  }

  @Test
  public void coldTargetFallsOverUnderFullLoadAndComesBackCold() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(2, 20, ENDLESS, 1).cold());
    final LoadReport before = load(target);
    hold(target, 2);
    await(() -> targets.stats(target).running() == 2);

    assertEquals(call(target, HttpMethod.GET, "/", "").status(), 0);

    assertEquals(targets.stats(target).coldCrashes(), 1);
    await(() -> call(target, HttpMethod.GET, "/stats", "").status() == 200);
    assertEquals(targets.stats(target).running(), 0);
    assertNotEquals(load(target).incarnation(), before.incarnation());
    assertTrue(load(target).warmPercent() < 50);
  }

  @Test
  public void coldTargetWarmsByTimeAndCalls() throws Exception {
    TargetOptions options =
        new TargetOptions(1, 4, 10, QUICK, 0, false, 2, 4, Duration.ZERO, 4, QUICK, 1);
    Endpoint target = targets.add(ANY, options);
    assertEquals(load(target).warmPercent(), 50);
    call(target, HttpMethod.GET, "/", "");
    call(target, HttpMethod.GET, "/", "");
    assertEquals(load(target).warmPercent(), 75);
  }

  @Test
  public void faultsAreSwitchedAtRunTime() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(2, 10, QUICK, 1));

    control(target, "{\"failFast\":true}");
    assertEquals(call(target, HttpMethod.GET, "/", "").status(), 500);

    control(target, "{\"cutAnswers\":1}");
    assertEquals(call(target, HttpMethod.GET, "/", "").status(), 0);
    assertEquals(call(target, HttpMethod.GET, "/", "").status(), 200);

    control(target, "{\"coldAgain\":true,\"draining\":true}");
    assertTrue(load(target).draining());
    assertTrue(load(target).warmPercent() < 50);
    call(target, HttpMethod.GET, "/", "");
    assertEquals(targets.stats(target).runsWhileDraining(), 1);

    String lie = "running=0, slots=9, warm=100, incarnation=x, draining=0";
    control(target, "{\"misleadingReport\":\"" + lie + "\"}");
    assertEquals(load(target).slots(), 9);

    control(target, "{\"silent\":true}");
    limit = Duration.ofMillis(300);
    assertEquals(call(target, HttpMethod.GET, "/", "").status(), 0);
    assertEquals(targets.stats(target).crashes(), 0);
    limit = HANG;

    control(target, "{\"crashMarker\":\"poison\"}");
    assertEquals(call(target, HttpMethod.GET, "/", "", "X-Any", "poison").status(), 0);
    assertEquals(targets.stats(target).crashes(), 1);
  }

  @Test
  public void connectionsBeyondTheLimitAreClosed() throws Exception {
    Endpoint target = targets.add(ANY, TargetOptions.warm(2, 1, ENDLESS, 1));
    final List<Disposable> held = hold(target, 1);
    await(() -> targets.stats(target).running() == 1);

    assertEquals(call(target, HttpMethod.GET, "/stats", "").status(), 0);
    assertEquals(targets.stats(target).maxConnections(), 1);
    held.forEach(Disposable::dispose);
  }

  @Test
  public void malformedReportIsNoReport() {
    assertFalse(LoadReportHeader.parse("running=1, slots=2").isPresent());
    assertFalse(
        LoadReportHeader.parse("running=1, slots=2, warm=101, incarnation=a, draining=0")
            .isPresent());
    LoadReport report = new LoadReport(1, 2, 100, "abc", false);
    assertEquals(LoadReportHeader.parse(LoadReportHeader.format(report)).get(), report);
  }

  private LoadReport load(Endpoint target) {
    return LoadReportHeader.parse(call(target, HttpMethod.GET, "/load", "").body()).orElseThrow();
  }

  private static LoadReport report(Answer answer) {
    return LoadReportHeader.parse(answer.headers().get(LoadReportHeader.NAME)).orElseThrow();
  }

  private void control(Endpoint target, String json) throws Exception {
    new ObjectMapper().readTree(json);
    assertEquals(call(target, HttpMethod.PUT, "/control", json).status(), 200);
  }

  private List<Disposable> hold(Endpoint target, int calls) {
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

  /** Makes a call; status 0 stands for a failed connection, a cut answer or silence. */
  private Answer call(
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
                            new Answer(response.status().code(), text, response.responseHeaders())))
        .timeout(limit)
        .onErrorReturn(new Answer(0, "", null))
        .block();
  }

  private static void await(BooleanSupplier condition) {
    Flux.interval(Duration.ofMillis(5))
        .onBackpressureDrop()
        .publishOn(Schedulers.boundedElastic())
        .filter(tick -> condition.getAsBoolean())
        .next()
        .block(HANG);
  }

  private record Answer(int status, String body, HttpHeaders headers) {}
}
