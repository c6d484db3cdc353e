//! The two main cases, shown with their figures; `scripts/demo` starts the site.

mod booking;
mod returning_prompt;
mod site;

pub use site::Site;
pub(crate) use site::poll;

/// Shows both cases and fails if either does.
///
/// # Errors
///
/// Fails when the returning prompt was computed again, an answer was wrong, or a booking ran more
/// than once.
pub async fn run(site: &Site) -> anyhow::Result<()> {
    site.wait_until_ready().await?;
    returning_prompt::show(site).await?;
    booking::show(site).await?;
    println!("both cases hold");
    Ok(())
}
