package org.radishpost.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import org.radishpost.lib.Verdict;

/**
 * Replaces responses of the HTTP library's own with problem documents.
 *
 * <p>Responses that this program writes carry a marker field, which this handler removes. There is
 * one instance per connection, placed after the codec.
 */
final class ErrorResponseRewriter extends ChannelOutboundHandlerAdapter {
  /**
   * Channel attribute that is true while a target may have received a part of the current request.
   */
  static final AttributeKey<Boolean> MAY_RUN = AttributeKey.valueOf("radishpost-may-run");

  /** Returns whether a target may have received a part of the current request. */
  static boolean mayRun(Channel channel) {
    return Boolean.TRUE.equals(channel.attr(MAY_RUN).get());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    context.write(
        message instanceof HttpResponse response ? rewrite(context, response) : message, promise);
  }

  private static HttpResponse rewrite(ChannelHandlerContext context, HttpResponse response) {
    boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (interim || response.headers().contains(HeaderNames.WRITTEN_MARKER)) {
      response.headers().remove(HeaderNames.WRITTEN_MARKER);
      return response;
    }
    if (!(response instanceof FullHttpResponse full)) {
      return response;
    }
    full.release();
    return problemResponse(context, errorStatus(response));
  }

  /** The library sends an empty success for a call that ended without a response. */
  private static int errorStatus(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.SUCCESS
        ? HttpResponseStatus.BAD_GATEWAY.code()
        : response.status().code();
  }

  private static HttpResponse problemResponse(ChannelHandlerContext context, int status) {
    Verdict verdict = mayRun(context.channel()) ? Verdict.UNKNOWN : Verdict.NOT_RUN;
    Problem problem = Problems.fromLibraryStatus(status, verdict);
    Response problemFields = Response.of(problem);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(problem.status()),
            Unpooled.wrappedBuffer(problem.toJson()));
    response.headers().add(problemFields.headers()).set("connection", "close");
    return response;
  }
}
