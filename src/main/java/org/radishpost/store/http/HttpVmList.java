package org.radishpost.store.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.radishpost.errors.VmListUnavailableException;
import org.radishpost.lib.Endpoint;
import org.radishpost.store.VmEntry;
import org.radishpost.store.VmList;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Reads the platform's list of VMs over HTTP and JSON; thread-safe. */
public final class HttpVmList implements VmList {
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private final HttpClient client;
  private final LogJson json = new LogJson();

  /**
   * Creates a client.
   *
   * @param connections the connection pool
   * @param server the address of the service that provides the list
   * @param responseTimeout the maximum wait for the response
   */
  public HttpVmList(ConnectionProvider connections, Endpoint server, Duration responseTimeout) {
    this.client = PlatformHttp.client(connections, server).responseTimeout(responseTimeout);
  }

  @Override
  public Mono<List<VmEntry>> read() {
    return client
        .get()
        .uri("/vms")
        .response(this::toEntries)
        .singleOrEmpty()
        .switchIfEmpty(Mono.error(() -> new IOException("the response was empty")))
        .onErrorMap(HttpVmList::unavailable);
  }

  private Mono<List<VmEntry>> toEntries(HttpClientResponse response, ByteBufFlux content) {
    int status = response.status().code();
    if (status != PlatformHttp.OK) {
      IOException failure = new IOException("the list responded with status " + status);
      return content.then(Mono.error(failure));
    }
    return PlatformHttp.body(content, MAX_RESPONSE_BYTES)
        .flatMap(body -> Mono.fromCallable(() -> json.decodeVms(body)));
  }

  private static Throwable unavailable(Throwable cause) {
    return new VmListUnavailableException(
        "The platform's list of VMs does not respond: check its address in the settings or try"
            + " later.",
        cause);
  }
}
