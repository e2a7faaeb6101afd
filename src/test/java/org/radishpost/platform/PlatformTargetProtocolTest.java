package org.radishpost.platform;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.radishpost.http.Response;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests which responses of targets state that a request has not run. */
public class PlatformTargetProtocolTest {
  private final PlatformTargetProtocol protocol = new PlatformTargetProtocol(service -> "/healthz");

  /** Returns the status, whether the response has a MAC, states "not run", and counts as such. */
  @DataProvider
  public Object[][] responses() {
    return new Object[][] {
      {200, true, false, false},
      {408, true, false, false},
      {408, false, false, false},
      {408, false, true, true},
      {421, true, false, false},
      {421, false, false, true},
      {421, false, true, true},
      {421, true, true, true},
      {429, true, false, false},
      {429, false, true, true},
      {503, true, false, false},
      {503, false, false, false},
      {503, false, true, true},
    };
  }

  /** The status 421 of a target that had run the request counted as a statement that it had not. */
  @Test(dataProvider = "responses")
  public void statusOfRunIsNoStatementThatItDidNotRun(
      int status, boolean authenticated, boolean statesNotRun, boolean notRun) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (authenticated) {
      headers.set(WireNames.UPSTREAM_SIGNATURE, "mac");
    }
    if (statesNotRun) {
      headers.set(WireNames.NOT_EXECUTED, "1");
    }
    Response response = new Response(status, headers, Flux.empty(), Mono.empty(), Optional.empty());
    assertEquals(protocol.parse(response).notRun(), notRun);
  }
}
