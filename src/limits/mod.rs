//! Rate, token and concurrency limits, retry budgets, circuits and load shedding.
