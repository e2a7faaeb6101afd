package org.radishpost.standin;

import static org.testng.Assert.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Tests that the target stand-in applies a control request before it responds to it. */
public class TargetHandlerTest {
  private static final int RESPONSE_WAIT_MILLIS = 500;

  @Test
  public void controlIsAppliedBeforeItsResponse() throws Exception {
    CountDownLatch responseReceived = new CountDownLatch(1);
    AtomicBoolean respondedFirst = new AtomicBoolean();
    TargetState state =
        new TargetState(TargetOptions.warm(1, 4, Duration.ofMillis(1), 1), Schedulers.parallel());
    TargetHandler handler =
        new TargetHandler(
            state,
            Schedulers.parallel(),
            newControl -> respondedFirst.set(await(responseReceived)),
            coldOverload -> {});
    DisposableServer server =
        HttpServer.create().host("127.0.0.1").port(0).handle(handler::handle).bindNow();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + "/control"))
            .PUT(BodyPublishers.ofString("{\"silent\":true}"))
            .build();
    CompletableFuture<HttpResponse<String>> pendingResponse =
        HttpClient.newHttpClient()
            .sendAsync(request, BodyHandlers.ofString())
            .whenComplete((response, error) -> responseReceived.countDown());
    assertEquals(pendingResponse.get().statusCode(), 200);
    assertEquals(respondedFirst.get(), false);
    server.disposeNow();
  }

  private static boolean await(CountDownLatch latch) {
    try {
      return latch.await(RESPONSE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
