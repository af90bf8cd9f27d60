use futures_util::FutureExt;
use xtra::prelude::*;

/// Puts a message into an actor's unbounded mailbox without waiting for its handling.
///
/// Messages of one sender are handled in the order in which they were posted.
pub(crate) fn post<A, M>(address: &Address<A>, message: M)
where
    A: Handler<M>,
    M: Send + 'static,
{
    let _ = address.send(message).detach().now_or_never();
}
