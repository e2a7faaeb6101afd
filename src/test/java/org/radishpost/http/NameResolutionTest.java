package org.radishpost.http;

import static org.testng.Assert.assertSame;

import io.netty.resolver.NoopAddressResolverGroup;
import java.time.Duration;
import org.testng.annotations.Test;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

/**
 * Tests that name resolution remains disabled after {@code runOn}, which sets the event loop
 * threads.
 */
public class NameResolutionTest {
  @Test
  public void runOnKeepsNameResolutionDisabled() {
    LoopResources loops = LoopResources.create("numeric", 1, true);
    HttpClient client = NameResolution.disable(HttpClient.newConnection()).runOn(loops);
    assertSame(client.configuration().resolver(), NoopAddressResolverGroup.INSTANCE);
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }
}
